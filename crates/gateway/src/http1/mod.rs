//! HTTP/1.1 framing of requests and answers.
//!
//! `httparse` reads heads; this module decides what a head may say about its body and
//! cuts bodies out. It stands in place of `salvo` and `reqwest` for callers' requests,
//! since three things have to be decided here that neither leaves open: requests behind
//! one another on a connection run at the same time, an answer that belongs to an earlier
//! request is skipped by its id, and a caller that hung up is noticed while its request
//! waits.
//!
//! It is strict where two readers could disagree: two lengths, a length beside chunks,
//! bare line feeds and folded headers are refused.

mod body;
mod head;
mod request;
mod response;
mod write;

pub use body::{BodyProgress, BodyReader, Framing};
pub use head::{HeadError, HeadFields};
pub use request::{RequestError, RequestHead, read_request};
pub use response::{ResponseHead, read_response};
pub use write::{ResponseWriter, is_hop_by_hop, write_request};
