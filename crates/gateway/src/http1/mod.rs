//! HTTP/1.1 framing of requests and responses.
//!
//! `httparse` parses heads; this module validates how a head frames its body, and reads bodies.
//! `salvo` and `reqwest` don't allow what is needed here: pipelined requests that run concurrently,
//! skipping a response to an earlier request by its id, and noticing that a caller disconnected
//! while its request waits.
//!
//! Ambiguous framing is refused: two lengths, a length beside chunks, bare line feeds, and folded
//! headers.

mod body;
mod head;
mod request;
mod response;
mod write;

pub use body::{BodyProgress, BodyReader, Framing};
pub use head::{HeadError, HeadFields};
pub use request::{RequestError, RequestHead, read_request};
pub use response::{ResponseHead, ResponseHeadReader};
pub use write::{HeaderChanges, HopByHop, ResponseWriter, write_request_head};
