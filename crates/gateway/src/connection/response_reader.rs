//! Reads the response to a request, and tells it from responses to others.

use super::{Answered, ExchangeError, Expected, Response, Sent};
use crate::http1::{BodyProgress, BodyReader, Framing, HeadError, ResponseHead, read_response};

/// Largest body of a response. Responses are buffered until complete, so that a truncated one is
/// never delivered.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Responses to earlier requests that are skipped before the exchange fails.
const MAX_STRAYS: u32 = 4;

/// Reads the expected response from the received bytes, and skips responses to other requests.
#[derive(Debug)]
pub(super) struct ResponseReader<'a> {
    expected: Expected<'a>,
    /// What was answered on the connection before.
    answered: Answered,
    head: Option<ResponseHead>,
    body: Option<BodyReader>,
    strays: u32,
}

impl<'a> ResponseReader<'a> {
    pub(super) fn new(expected: Expected<'a>, answered: Answered) -> ResponseReader<'a> {
        ResponseReader { expected, answered, head: None, body: None, strays: 0 }
    }

    pub(super) fn read_from(
        &mut self,
        buffer: &mut Vec<u8>,
    ) -> Result<Option<Response>, ExchangeError> {
        loop {
            if self.head.is_none() {
                let head = read_response(buffer, self.expected.has_body).map_err(malformed)?;
                let Some(head) = head else { return Ok(None) };
                self.body = Some(BodyReader::new(head.framing, MAX_BODY_BYTES));
                self.head = Some(head);
            }
            let Some(body) = &mut self.body else { return Ok(None) };
            match body.read_from(buffer).map_err(malformed)? {
                BodyProgress::Partial => return Ok(None),
                BodyProgress::TooLarge => return Err(ExchangeError::Garbled),
                BodyProgress::Whole => {}
            }
            let (Some(head), Some(body)) = (self.head.take(), self.body.take()) else {
                return Ok(None);
            };
            match self.owner_of(&head) {
                Owner::This => return Ok(Some(Response { head, body: body.into_body() })),
                Owner::Unknown => return Err(ExchangeError::Unnamed),
                Owner::Other => {
                    self.strays += 1;
                    if self.strays > MAX_STRAYS || !head.keeps_alive {
                        return Err(ExchangeError::Garbled);
                    }
                }
            }
        }
    }

    /// Returns the response that the end of the connection completes, if its body is framed so.
    pub(super) fn complete_at_close(mut self) -> Option<Response> {
        let (head, body) = (self.head.take()?, self.body.take()?);
        let is_whole = body.framing() == Framing::UntilClose && self.owner_of(&head) == Owner::This;
        is_whole.then(|| Response { head, body: body.into_body() })
    }

    /// The request that a response belongs to.
    fn owner_of(&self, head: &ResponseHead) -> Owner {
        let Some(naming) = self.expected.naming else { return Owner::This };
        match (head.fields.get(naming.header), naming.sent) {
            (Some(named), Sent::Request(id)) if named == id => Owner::This,
            (Some(_), _) => Owner::Other,
            (None, Sent::Probe | Sent::Request("")) => Owner::This,
            (None, Sent::Request(_)) => self.owner_of_unnamed(head, naming.probe_header),
        }
    }

    /// The same for a response that names no request.
    fn owner_of_unnamed(&self, head: &ResponseHead, probe_header: &str) -> Owner {
        match self.answered {
            Answered::Nothing => Owner::This,
            _ if head.fields.get(probe_header).is_some() => Owner::Other,
            Answered::Probes => Owner::This,
            Answered::Named => Owner::Unknown,
        }
    }
}

/// The request that a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Owner {
    This,
    Other,
    Unknown,
}

fn malformed(_: HeadError) -> ExchangeError {
    ExchangeError::Garbled
}
