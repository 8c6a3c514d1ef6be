//! Reads the response to a request, and tells it from responses to others.

use super::{Answered, ExchangeError, Expected, MAX_BODY_BYTES, Response, Sent, Streaming};
use crate::http1::{
    BodyProgress, BodyReader, Framing, HeadError, ResponseHead, ResponseHeadReader,
};

/// Responses to earlier requests that are skipped before the exchange fails.
const MAX_STRAYS: u32 = 4;

/// Reads the expected response from the received bytes, and skips responses to other requests.
pub(super) struct ResponseReader<'a> {
    expected: Expected<'a>,
    /// What was answered on the connection before.
    answered: Answered,
    /// None if all responses are collected whole.
    streaming: Option<Streaming<'a>>,
    head_reader: ResponseHeadReader,
    head: Option<ResponseHead>,
    body: Option<BodyReader>,
    strays: u32,
}

impl<'a> ResponseReader<'a> {
    pub(super) fn new(
        expected: Expected<'a>,
        answered: Answered,
        streaming: Option<Streaming<'a>>,
    ) -> ResponseReader<'a> {
        ResponseReader {
            expected,
            answered,
            streaming,
            head_reader: ResponseHeadReader::new(expected.has_body),
            head: None,
            body: None,
            strays: 0,
        }
    }

    pub(super) fn read_from(
        &mut self,
        buffer: &mut Vec<u8>,
    ) -> Result<Option<Response>, ExchangeError> {
        loop {
            if self.head.is_none() {
                let head = self.head_reader.read_from(buffer).map_err(malformed)?;
                let Some(head) = head else { return Ok(None) };
                self.body = Some(BodyReader::new(head.framing, self.max_body_bytes(&head)));
                self.head = Some(head);
            }
            let owner = self.head.as_ref().map(|head| self.owner_of(head));
            let is_stray = owner == Some(Owner::Other);
            let Some(body) = &mut self.body else { return Ok(None) };
            let progress = body.read_from(buffer).map_err(malformed)?;
            if is_stray {
                drop(body.take());
            }
            match progress {
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

    /// Takes the response that is being read, if it is long and may be streamed.
    pub(super) fn take_long(&mut self) -> Option<(ResponseHead, BodyReader)> {
        let (head, body) = (self.head.as_ref()?, self.body.as_ref()?);
        let max_bytes = self.streaming_of(head)?.max_whole_bytes();
        let is_long = match head.framing {
            Framing::Length(length) => length > max_bytes as u64,
            Framing::Chunked | Framing::UntilClose => body.received_bytes() > max_bytes,
        };
        is_long.then(|| self.head.take().zip(self.body.take()))?
    }

    /// Number of bytes that are held of the body.
    pub(super) fn held_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, BodyReader::held_bytes)
    }

    /// How a response is streamed; none if it belongs to another request or has to be whole.
    fn streaming_of(&self, head: &ResponseHead) -> Option<Streaming<'a>> {
        self.streaming.filter(|_| self.owner_of(head) == Owner::This)
    }

    /// Returns the response that the end of the connection completes, if its body is framed so.
    pub(super) fn complete_at_close(mut self) -> Option<Response> {
        let (head, body) = (self.head.take()?, self.body.take()?);
        let is_whole = body.framing() == Framing::UntilClose && self.owner_of(&head) == Owner::This;
        is_whole.then(|| Response { head, body: body.into_body() })
    }

    /// Longest body of a response. Strays may be responses to anything.
    fn max_body_bytes(&self, head: &ResponseHead) -> usize {
        match self.owner_of(head) {
            Owner::This if self.streaming.is_some() => usize::MAX,
            Owner::This => self.expected.max_body_bytes,
            Owner::Other | Owner::Unknown => MAX_BODY_BYTES,
        }
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
