//! Stand-in for discovery: serves the list of workers, and holds each watch for as long as it asks.

use crate::http;
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Version of the list, which never changes.
const VERSION: u64 = 7;

/// Returns the list of the workers at these addresses in discovery's form. All workers run since long ago.
pub fn list(workers: &[SocketAddr], zone: &str, cell_size: usize) -> String {
    let entry = |(number, address): (usize, &SocketAddr)| {
        let cell = number / cell_size;
        format!(
            r#"{{"id":"s-{number:08x}","addr":"{address}","zone":"{zone}","kind":"std-3c","cell":{cell},"state":"SERVING","weight":1.0,"started_ms":0}}"#
        )
    };
    let entries: Vec<String> = workers.iter().enumerate().map(entry).collect();
    format!(r#"{{"version":{VERSION},"full":true,"servers":[{}]}}"#, entries.join(","))
}

/// Starts discovery on a free port and returns its address.
pub fn start(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let list = Arc::new(list);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve(&socket, &list));
        }
    });
    address
}

fn serve(mut socket: &TcpStream, list: &str) {
    let _ = socket.set_nodelay(true);
    let mut reader = BufReader::new(socket);
    while let Ok(Some(call)) = http::read_message(&mut reader) {
        let is_known = call.query("from").and_then(|text| text.parse().ok()) == Some(VERSION);
        let hold = call.query("hold_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = if is_known {
            thread::sleep(Duration::from_millis(hold));
            format!(r#"{{"version":{VERSION},"full":false,"servers":[]}}"#)
        } else {
            list.to_owned()
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if socket.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
