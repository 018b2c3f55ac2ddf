//! Parsing of request heads and bodies.

use super::*;
use crate::node::wire::request_body::{BodyDecoder, BodyError};

/// Parses a request that arrives in parts of `part_length` bytes and returns the head and the body; `None` if the
/// request is incomplete.
fn parse_request(text: &str, part_length: usize) -> Result<Option<(RequestHead, BytesMut)>, StatusCode> {
    let mut buffer = BytesMut::new();
    let mut scanned_bytes = 0;
    let mut decoder_and_head = None;
    let mut body = BytesMut::new();
    for part in text.as_bytes().chunks(part_length) {
        buffer.extend_from_slice(part);
        if decoder_and_head.is_none() {
            let head = take_head(&mut buffer, &mut scanned_bytes).map_err(HeadError::status)?;
            decoder_and_head = head.map(|head| (BodyDecoder::new(head.options.framing), head));
        }
        if let Some((decoder, _)) = &mut decoder_and_head {
            // Decodes the body in steps of at most nine bytes.
            loop {
                let mut output = BytesMut::new();
                let is_complete = decoder.decode(&mut buffer, &mut output, 9).map_err(BodyError::status)?;
                body.extend_from_slice(&output);
                if is_complete {
                    return Ok(decoder_and_head.map(|(_, head)| (head, body)));
                }
                if output.len() < 9 {
                    break;
                }
            }
        }
    }
    Ok(None)
}

#[test]
fn request_parses_equally_in_parts_of_any_length() {
    let plain = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    let chunked =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: u\r\n\r\n";
    let bare = "GET /a HTTP/1.0\n\n";
    for part_length in 1..200 {
        for text in [plain, chunked] {
            let (head, body) = parse_request(text, part_length).expect("valid").expect("complete");
            assert!(
                head.options.allows_keep_alive && head.method == Method::POST && body == "hello",
                "{part_length}"
            );
        }
        let (head, body) = parse_request(bare, part_length).expect("valid").expect("complete");
        assert!(!head.options.allows_keep_alive && body.is_empty());
    }
}

#[test]
fn ambiguous_framing_is_rejected() {
    for headers in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: 4\r\nContent-Length: 4",
        "Content-Length: 4, 4",
        "Content-Length: -4",
        "Content-Length: +4",
        "Content-Length: ",
        "Content-Length: 0x4",
        "Content-Length : 4",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "A: b\r\n Transfer-Encoding: chunked",
    ] {
        let text = format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n");
        assert_eq!(parse_request(&text, 7).err(), Some(StatusCode::BAD_REQUEST), "{headers}");
    }
    for body in ["x\r\n", "-1\r\n", "3\r\nabcde\r\n0\r\n\r\n", "fffffffffffffffff\r\n"] {
        let text = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        assert_eq!(parse_request(&text, 7).err(), Some(StatusCode::BAD_REQUEST), "{body}");
    }
}

#[test]
fn oversized_request_is_rejected() {
    let large = Some(StatusCode::PAYLOAD_TOO_LARGE);
    for length in ["41943041", "60000000", "99999999999999999999999999"] {
        let text = format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        assert_eq!(parse_request(&text, 9).err(), large);
    }
    let text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n".to_owned();
    assert_eq!(parse_request(&(text + &"x".repeat(0xffff) + "\r\n27f0002\r\n"), 999).err(), large);
    let long = Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    for endless in ["a: b\r\n", "x"] {
        let text = format!("GET / HTTP/1.1\r\n{}", endless.repeat(MAX_HEAD_BYTES));
        assert_eq!(parse_request(&text, 1000).err(), long, "{endless}");
    }
    // Input that is not HTTP is rejected before the first line end.
    assert_eq!(parse_request("\u{16}\u{3}\u{1} nonsense", 20).err(), Some(StatusCode::BAD_REQUEST));
}
