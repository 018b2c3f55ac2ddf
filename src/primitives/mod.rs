//! Data structures and estimators that know nothing of gateways, customers or endpoints.

pub mod decaying_sum;
pub mod latency_estimate;
pub mod ordered_table;
pub mod stable_hash;
pub mod staggered_share;
pub mod token_bucket;
