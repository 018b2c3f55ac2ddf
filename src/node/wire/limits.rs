//! Bounds on messages, either way, in bytes.

/// Longest head.
pub const MAX_HEAD: usize = 16 * 1024;
/// Most bytes of a body, either way, that are gathered whole; a larger one passes through in pieces.
pub const MAX_WHOLE: usize = 64 * 1024;
/// Most bytes of any body; the largest have 32 MB.
pub const MAX_BODY: usize = 40 << 20;
