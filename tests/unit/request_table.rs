//! Tests of request ids, transaction ids and the removal of finished requests.

use super::*;
use crate::node::{
    connection::clients::FinalResponse,
    wire::{client_request::UpstreamRequest, stream::RequestBody},
};
use bytes::Bytes;
use hyper::{Method, Uri};
use std::rc::Rc;
use tokio::sync::oneshot;

/// Opens a request with this transaction id, whose client waits until the receiver is dropped. `None` if the
/// transaction id is taken.
fn open_request(
    table: &RequestTable,
    transaction_id: &'static str,
) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
    let transaction_id = HeaderValue::from_static(transaction_id);
    let id = table.reserve_id(&transaction_id)?;
    let upstream = UpstreamRequest {
        method: Method::GET,
        uri: Uri::from_static("/lookup"),
        transaction_id,
        idempotency_key: None,
        content_type: None,
        body: RequestBody::Buffered(Bytes::new()),
    };
    let (sender, receiver) = oneshot::channel();
    table.insert(id.clone(), OpenRequest::new(sender, Rc::new(upstream), 1.0));
    Some((id, receiver))
}

#[test]
fn transaction_id_stays_reserved_until_request_is_removed() {
    let table = RequestTable::default();
    let (first, _receiver) = open_request(&table, "t-1").expect("a free transaction id");
    assert!(open_request(&table, "t-1").is_none());
    let (second, _other_receiver) = open_request(&table, "t-2").expect("a free transaction id");
    assert_ne!(first, second);
    table.get_mut(&first).expect("open").mark_disconnected();
    assert!(open_request(&table, "t-1").is_none());
    assert!(table.remove_finished(&first).is_some());
    assert!(open_request(&table, "t-1").is_some_and(|(third, _)| third != first));
}

#[test]
fn only_finished_requests_are_removed() {
    let table = RequestTable::default();
    let (id, _receiver) = open_request(&table, "t-1").expect("a free transaction id");
    assert!(table.remove_finished(&id).is_none());
    assert_eq!((table.ids(), table.waiting_count()), (vec![id.clone()], 1));
    table.get_mut(&id).expect("open").deliver(FinalResponse::Failed);
    assert_eq!((table.ids(), table.waiting_count()), (vec![id.clone()], 0));
    assert!(table.is_some_and(&id, OpenRequest::is_finished));
    assert!(table.remove_finished(&id).is_some());
    assert!(table.remove_finished(&id).is_none() && table.get_mut(&id).is_none());
    assert!(!table.is_some_and(&id, |_| true) && table.ids().is_empty());
}
