//! Bodies, framed by length, by chunks, or by the end of the connection.

use super::HeadError;

/// Longest line of a chunk's size or of a trailer.
const MAX_LINE_BYTES: usize = 4_096;

/// Most trailers of a body; none is forwarded.
const MAX_TRAILERS: usize = 64;

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// How much of a body has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyProgress {
    /// More bytes are needed.
    Partial,
    /// The body is complete.
    Whole,
    /// The body exceeds the limit.
    TooLarge,
}

/// Reads one body from the received bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunk: ChunkPart,
    max_bytes: usize,
    body: Vec<u8>,
    /// Number of bytes that [`BodyReader::take`] returned.
    taken_bytes: usize,
}

/// The next part of a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkPart {
    Size,
    Data(usize),
    DataEnd,
    /// The number of trailers so far.
    Trailers(usize),
}

impl BodyReader {
    /// Reads a body of at most `max_bytes`.
    pub fn new(framing: Framing, max_bytes: usize) -> BodyReader {
        BodyReader { framing, chunk: ChunkPart::Size, max_bytes, body: Vec::new(), taken_bytes: 0 }
    }

    /// Takes out what was read since the last call.
    pub fn take(&mut self) -> Vec<u8> {
        self.taken_bytes += self.body.len();
        std::mem::take(&mut self.body)
    }

    /// Returns what was read of the body and not taken.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Number of bytes that were read of the body.
    pub fn received_bytes(&self) -> usize {
        self.taken_bytes + self.body.len()
    }

    /// Number of bytes that were read and not taken.
    pub fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// How the body is framed.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Moves what belongs to the body from the front of `buffer`.
    pub fn read_from(&mut self, buffer: &mut Vec<u8>) -> Result<BodyProgress, HeadError> {
        match self.framing {
            Framing::Length(length) => Ok(self.read_length(buffer, length)),
            Framing::Chunked => self.read_chunks(buffer),
            Framing::UntilClose => {
                self.body.append(buffer);
                Ok(self.partial_or_too_large())
            }
        }
    }

    fn read_length(&mut self, buffer: &mut Vec<u8>, length: u64) -> BodyProgress {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > self.max_bytes {
            return BodyProgress::TooLarge;
        }
        let wanted = (length - self.received_bytes()).min(buffer.len());
        self.body.extend_from_slice(&buffer[..wanted]);
        buffer.drain(..wanted);
        if self.received_bytes() == length { BodyProgress::Whole } else { BodyProgress::Partial }
    }

    fn read_chunks(&mut self, buffer: &mut Vec<u8>) -> Result<BodyProgress, HeadError> {
        let mut unread = buffer.as_slice();
        let progress = self.read_chunks_from(&mut unread);
        // Once for all chunks: what is behind them moves.
        buffer.drain(..buffer.len() - unread.len());
        progress
    }

    fn read_chunks_from(&mut self, unread: &mut &[u8]) -> Result<BodyProgress, HeadError> {
        loop {
            match self.chunk {
                ChunkPart::Size => match take_line(unread)? {
                    None => return Ok(BodyProgress::Partial),
                    Some(line) => match chunk_size(line)? {
                        0 => self.chunk = ChunkPart::Trailers(0),
                        size if size > self.max_bytes.saturating_sub(self.received_bytes()) => {
                            return Ok(BodyProgress::TooLarge);
                        }
                        size => self.chunk = ChunkPart::Data(size),
                    },
                },
                ChunkPart::Data(left) => {
                    let taken = left.min(unread.len());
                    self.body.extend_from_slice(&unread[..taken]);
                    *unread = &unread[taken..];
                    if taken < left {
                        self.chunk = ChunkPart::Data(left - taken);
                        return Ok(BodyProgress::Partial);
                    }
                    self.chunk = ChunkPart::DataEnd;
                }
                ChunkPart::DataEnd => match take_line(unread)? {
                    None => return Ok(BodyProgress::Partial),
                    Some([]) => self.chunk = ChunkPart::Size,
                    Some(_) => return Err(HeadError::BadEncoding),
                },
                ChunkPart::Trailers(count) => match take_line(unread)? {
                    None => return Ok(BodyProgress::Partial),
                    Some([]) => return Ok(BodyProgress::Whole),
                    Some(_) if count == MAX_TRAILERS => return Err(HeadError::BadEncoding),
                    Some(_) => self.chunk = ChunkPart::Trailers(count + 1),
                },
            }
        }
    }

    fn partial_or_too_large(&self) -> BodyProgress {
        match self.received_bytes() > self.max_bytes {
            true => BodyProgress::TooLarge,
            false => BodyProgress::Partial,
        }
    }
}

/// Takes a complete line from the front, without its end; none if it is incomplete.
fn take_line<'b>(unread: &mut &'b [u8]) -> Result<Option<&'b [u8]>, HeadError> {
    let longest = &unread[..unread.len().min(MAX_LINE_BYTES + 1)];
    let Some(at) = longest.iter().position(|&byte| byte == b'\n') else {
        return if unread.len() > MAX_LINE_BYTES { Err(HeadError::BadEncoding) } else { Ok(None) };
    };
    let (line, rest) = unread.split_at(at + 1);
    *unread = rest;
    match line.strip_suffix(b"\r\n") {
        Some(line) => Ok(Some(line)),
        None => Err(HeadError::BareLineFeed),
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, HeadError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| HeadError::BadEncoding)?.trim_end();
    let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    match is_hex {
        true => usize::from_str_radix(text, 16).map_err(|_| HeadError::BadEncoding),
        false => Err(HeadError::BadEncoding),
    }
}
