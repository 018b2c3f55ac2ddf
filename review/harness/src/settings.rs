//! Settings of the small deployment puerto-corto: one draw from the ranges of `deploy/sites/puerto-corto`.

/// Workers of the deployment.
pub const WORKERS: usize = 10;
/// Gateways of the deployment.
pub const GATEWAYS: usize = 2;
/// The only zone.
pub const ZONE: &str = "muelle";
/// Workers in a cell.
pub const CELL_SIZE: usize = 5;

/// Returns the settings of the gateway with this number.
pub fn puerto_corto(me: usize) -> String {
    format!(
        r#"{{"Classes":[
{{"Name":"berth-look","Effect":"deduplicated","Group":"cell","Window":0.9,"Slo":0.25,"Deadline":0.7,"LateWorth":0.1,"Streamed":false,"Worth":1.0}},
{{"Name":"crane-order","Effect":"at_most_once","Group":"all","Window":0.8,"Slo":0.3,"Deadline":0.8,"LateWorth":0.0,"Streamed":false,"Worth":4.0}},
{{"Name":"tide-feed","Effect":"idempotent","Group":"all","Window":0.6,"Slo":0.2,"Deadline":0.6,"LateWorth":0.3,"Streamed":false,"Worth":1.0}},
{{"Name":"gate-pass","Effect":"deduplicated","Group":"all","Window":0.6,"Slo":0.3,"Deadline":0.9,"LateWorth":0.0,"Streamed":false,"Worth":3.0}}],
"Clients":{{"MarksRetry":false}},"Dcs":["{ZONE}"],"Discovery":"ask",
"Domain":{{"CallPrice":0.03,"CountLimit":0.04,"HasCounter":true,"MailPerS":0.0,"MaxUnits":3,"MeterPeriod":0.0,"PostPaid":false}},
"DomainType":"gate","Goal":{{"Whole":0.5,"WorstClass":0.15,"WorstTenant":0.15,"WorstWindow":0.2}},
"Kinds":["std-3c","eco-2c"],"Layer":0,
"Limits":{{"Cancelling":true,"ConnIdle":8.0,"ConnectTimeout":0.15,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"MaxRetryAfter":0.4,"MayProbe":true,"OpenCap":30000,"Peers":false,"RetryAfter":true,"SecondCopies":true,"SendCap":3,"StreamsPerConn":100}},
"Locality":0,"Me":{me},"PeersTotal":{GATEWAYS},
"Plans":[
{{"Name":"naviera","QuotaRate":4.0,"Depth":16.0,"Open":2,"Pays":1.5,"ExcessWorth":0.0,"OverrunCost":0.9,"CeilingRate":8.0,"CeilingBurst":32.0,"HardSlack":3.2}},
{{"Name":"agente","QuotaRate":12.0,"Depth":24.0,"Open":2,"Pays":0.7,"ExcessWorth":0.1,"OverrunCost":0.3,"CeilingRate":25.0,"CeilingBurst":50.0,"HardSlack":5.0}}],
"Prices":{{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.0,"LateFail":0.08,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.02,"Waste":0.04}},
"Report":{{"Fields":[],"Source":"none"}},
"Rules":{{"AnswerSlack":0.008,"Cold":17.0,"ColdFrom":0.22,"Fall":1.0,"FallMultiple":4.0,"MustAskIn":10.0,"StopSendingWithin":0.7}},
"Step":0.002,"Tiers":["subestacion-fleet"],"Weights":"nominal"}}"#
    )
}
