//! Configurations with settings like those of the small deployments under `deploy/sites/`. Where a site gives a range,
//! the value lies within it.

use std::net::SocketAddr;

const PUERTO_CORTO: &str = r#"{
 "Classes":[
  {"Name":"berth-look","Effect":"deduplicated","Group":"cell","Slo":0.25,"Deadline":0.7,"LateWorth":0.1,"Streamed":false,"Window":0.9,"Worth":1.0},
  {"Name":"crane-order","Effect":"at_most_once","Group":"all","Slo":0.3,"Deadline":0.8,"LateWorth":0.0,"Streamed":false,"Window":0.9,"Worth":4.0},
  {"Name":"tide-feed","Effect":"idempotent","Group":"all","Slo":0.2,"Deadline":0.6,"LateWorth":0.3,"Streamed":false,"Window":0.9,"Worth":1.0},
  {"Name":"gate-pass","Effect":"deduplicated","Group":"all","Slo":0.3,"Deadline":0.9,"LateWorth":0.0,"Streamed":false,"Window":0.6,"Worth":3.0}],
 "Clients":{"MarksRetry":false},
 "Dcs":["muelle"],
 "Discovery":"ask",
 "Domain":{"CallPrice":0.03,"CountLimit":0.04,"HasCounter":true,"MailPerS":0.0,"MaxUnits":3,"MeterPeriod":0.0,"PostPaid":false},
 "DomainType":"gate",
 "Kinds":["std-3c","eco-2c"],
 "Layer":0,
 "Limits":{"Cancelling":true,"ConnIdle":8.0,"ConnectTimeout":0.15,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"MaxRetryAfter":0.4,"MayProbe":true,"OpenCap":30000,"Peers":false,"RetryAfter":true,"SecondCopies":true,"SendCap":3,"StreamsPerConn":100},
 "Locality":0,"Me":0,"PeersTotal":2,
 "Plans":[
  {"Name":"naviera","QuotaRate":4.0,"Depth":16.0,"Open":2,"CeilingRate":7.6,"CeilingBurst":30.0,"HardSlack":3.0,"ExcessWorth":0.0,"OverrunCost":0.9,"Pays":1.5},
  {"Name":"agente","QuotaRate":12.0,"Depth":24.0,"Open":2,"CeilingRate":25.0,"CeilingBurst":50.0,"HardSlack":5.0,"ExcessWorth":0.1,"OverrunCost":0.3,"Pays":0.7}],
 "Prices":{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.0,"LateFail":0.08,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.02,"Waste":0.04},
 "Report":{"Fields":[],"Source":"none"},
 "Rules":{"AnswerSlack":0.008,"Cold":17.0,"ColdFrom":0.22,"Fall":1.0,"FallMultiple":4.0,"MustAskIn":10.0,"StopSendingWithin":0.7},
 "Step":0.002,"Tiers":["subestacion-fleet"],"Weights":"nominal"}"#;

const SIERRA_LARGA: &str = r#"{
 "Classes":[
  {"Name":"survey-render","Effect":"idempotent","Group":"all","Slo":2.5,"Deadline":9.0,"LateWorth":0.4,"Streamed":false,"Window":4.0,"Worth":2.0},
  {"Name":"pump-command","Effect":"deduplicated","Group":"all","Slo":1.8,"Deadline":7.0,"LateWorth":0.1,"Streamed":false,"Window":4.0,"Worth":5.0}],
 "Clients":{"MarksRetry":false},
 "Dcs":["cumbre","ladera","valle","rio"],
 "Discovery":"push",
 "Domain":{"CallPrice":0.005,"CountLimit":0.15,"HasCounter":true,"MailPerS":0.0,"MaxUnits":1,"MeterPeriod":0.0,"PostPaid":false},
 "DomainType":"gate",
 "Kinds":["small-2c"],
 "Layer":0,
 "Limits":{"Cancelling":true,"ConnIdle":60.0,"ConnectTimeout":0.9,"CpuUsPerRequest":0.0,"CpuUsPerS":600000,"MaxRetryAfter":1.0,"MayProbe":true,"OpenCap":30000,"Peers":false,"RetryAfter":true,"SecondCopies":true,"SendCap":3,"StreamsPerConn":100},
 "Locality":0,"Me":0,"PeersTotal":2,
 "Plans":[
  {"Name":"comunero","QuotaRate":1.4,"Depth":6.0,"Open":0,"CeilingRate":0.0,"CeilingBurst":0.0,"HardSlack":0.0,"ExcessWorth":0.0,"OverrunCost":0.4,"Pays":0.5},
  {"Name":"municipio","QuotaRate":5.0,"Depth":15.0,"Open":0,"CeilingRate":0.0,"CeilingBurst":0.0,"HardSlack":0.0,"ExcessWorth":0.0,"OverrunCost":0.7,"Pays":1.0},
  {"Name":"estado","QuotaRate":2.0,"Depth":10.0,"Open":0,"CeilingRate":4.0,"CeilingBurst":20.0,"HardSlack":2.0,"ExcessWorth":0.0,"OverrunCost":0.5,"Pays":1.2}],
 "Prices":{"Connection":0.0,"CrossZone":0.01,"Discovery":0.0,"Handshake":0.0,"LateFail":0.05,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.1},
 "Report":{"Fields":[],"Source":"none"},
 "Rules":{"AnswerSlack":0.008,"Cold":18.0,"ColdFrom":0.22,"Fall":1.0,"FallMultiple":4.0,"MustAskIn":10.0,"StopSendingWithin":0.4},
 "Step":0.002,"Tiers":["clip-servers"],"Weights":"none"}"#;

/// A small deployment.
#[derive(Clone, Copy)]
pub enum Site {
    PuertoCorto,
    SierraLarga,
}

/// Addresses and the list that a configuration names.
pub struct Addresses<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: &'a str,
}

/// Returns the configuration of a gateway.
pub fn config(site: Site, addresses: &Addresses) -> String {
    let settings = match site {
        Site::PuertoCorto => PUERTO_CORTO,
        Site::SierraLarga => SIERRA_LARGA,
    };
    format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":48,"sockets":384}},"counter":"{}","known":{},"settings":{settings}}}"#,
        addresses.listen, addresses.discovery, addresses.counter, addresses.known
    )
}

impl Site {
    /// Returns the zone of a worker.
    pub fn zone(self, worker: usize) -> &'static str {
        match self {
            Self::PuertoCorto => "muelle",
            Self::SierraLarga => ["cumbre", "ladera", "valle", "rio"][worker % 4],
        }
    }
}
