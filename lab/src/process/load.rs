//! Sends requests from clients that each use one persistent connection and wait for each response.

use super::{
    Error,
    child::{CLASS, PLAN_FREE, PLAN_METERED},
    http,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    ops::Range,
    panic::resume_unwind,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of gateways that serve a tenant, unless there are fewer.
const GATEWAYS_PER_TENANT: u32 = 3;

/// Number of the next request. Numbers are unique in this process, so that no two requests share a transaction id.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Requests to send.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Number of requests to send.
    pub requests: u64,
    /// Number of requests sent by earlier loads; the turn of the tenants continues after them.
    pub sent_before: u64,
    /// Number of connections, which share the requests evenly.
    pub connections: u64,
    /// Number of tenants with a quota, which take turns; `None` for one tenant without a quota.
    pub metered_tenants: Option<u64>,
    /// Number of gateways in the program's settings.
    pub gateways: u32,
}

/// Counts of sent and served requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadResult {
    /// Requests sent.
    pub sent: u64,
    /// Requests that received status 200.
    pub served: u64,
}

impl Load {
    /// Sends the requests and waits for all responses.
    ///
    /// # Errors
    /// A connection fails, or a response does not arrive in time.
    pub fn run(&self, address: SocketAddr) -> Result<LoadResult, Error> {
        let requests_per_client = self.requests.div_ceil(self.connections);
        let clients: Vec<_> = (0..self.connections)
            .map(|client| {
                let load = *self;
                let first = (client * requests_per_client).min(load.requests);
                let after_last = (first + requests_per_client).min(load.requests);
                thread::spawn(move || load.run_client(address, first..after_last))
            })
            .collect();
        let mut total = LoadResult::default();
        for client in clients {
            let result = client.join().unwrap_or_else(|panic| resume_unwind(panic));
            let result = result.map_err(Error::io("sending requests"))?;
            total.sent += result.sent;
            total.served += result.served;
        }
        Ok(total)
    }

    fn run_client(&self, address: SocketAddr, requests: Range<u64>) -> io::Result<LoadResult> {
        let mut socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut result = LoadResult::default();
        for number in requests {
            socket.write_all(self.request(number).as_bytes())?;
            let response = http::read_message(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            result.sent += 1;
            result.served += u64::from(response.status() == Some(200));
        }
        Ok(result)
    }

    fn request(&self, number: u64) -> String {
        let transaction_id = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        let plan = if self.metered_tenants.is_some() { PLAN_METERED } else { PLAN_FREE };
        let tenant = (self.sent_before + number) % self.metered_tenants.unwrap_or(1).max(1);
        let tenant_gateway_count = GATEWAYS_PER_TENANT.min(self.gateways);
        format!(
            "GET /{CLASS} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {transaction_id:016x}\r\nX-Lane: {CLASS}\r\n\
             X-Plan: {plan}\r\nX-Customer: {tenant:016x}\r\nX-Remaining: 4.0\r\n\
             X-Quota: units=1,spread={tenant_gateway_count},first=0\r\n\r\n"
        )
    }
}
