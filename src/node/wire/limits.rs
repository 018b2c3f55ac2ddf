//! Size limits of messages in either direction.

use oliverack::MAX_SHORT_BODY_BYTES;

/// Largest head of a request or response.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest response body that is buffered, and the initial limit for buffering a request body. Larger bodies are
/// streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = MAX_SHORT_BODY_BYTES as usize;
/// Largest body of a request or response; clients send up to 32 MB.
pub const MAX_BODY_BYTES: usize = 40 << 20;
