//! General data structures and estimators that do not depend on gateways, customers or endpoints.

pub mod decaying_sum;
pub mod latency_estimate;
pub mod ordered_table;
pub mod stable_hash;
pub mod staggered_share;
pub mod token_bucket;
