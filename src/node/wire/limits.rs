//! Size limits of messages in either direction.

/// Longest head of a request or response.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest response body that is buffered, and the first limit for request bodies. Larger ones are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Largest body in either direction; clients send up to 32 MB.
pub const MAX_BODY_BYTES: usize = 40 << 20;
