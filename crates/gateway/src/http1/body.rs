//! Bodies: by length, in chunks, or up to the end of the connection.

use super::HeadError;

/// Longest line with a chunk's size, and longest trailer section.
const MAX_LINE_BYTES: usize = 4_096;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// Where the connection ends.
    UntilClose,
}

/// How far a body has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyProgress {
    /// More bytes are needed.
    Partial,
    /// It is whole.
    Whole,
    /// It is larger than allowed.
    TooLarge,
}

/// Cuts one body out of the bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunk: Chunk,
    max_bytes: usize,
    body: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(usize),
    DataEnd,
    Trailers,
}

impl BodyReader {
    /// A body of at most `max_bytes`.
    pub fn new(framing: Framing, max_bytes: usize) -> BodyReader {
        BodyReader { framing, chunk: Chunk::Size, max_bytes, body: Vec::new() }
    }

    /// The body so far.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// How its end is found.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Takes what belongs to the body off the front of `buffer`.
    pub fn read_from(&mut self, buffer: &mut Vec<u8>) -> Result<BodyProgress, HeadError> {
        match self.framing {
            Framing::Length(length) => Ok(self.take_length(buffer, length)),
            Framing::Chunked => self.take_chunks(buffer),
            Framing::UntilClose => {
                self.body.append(buffer);
                Ok(self.partial())
            }
        }
    }

    fn take_length(&mut self, buffer: &mut Vec<u8>, length: u64) -> BodyProgress {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > self.max_bytes {
            return BodyProgress::TooLarge;
        }
        let wanted = (length - self.body.len()).min(buffer.len());
        self.body.extend(buffer.drain(..wanted));
        if self.body.len() == length { BodyProgress::Whole } else { BodyProgress::Partial }
    }

    fn take_chunks(&mut self, buffer: &mut Vec<u8>) -> Result<BodyProgress, HeadError> {
        loop {
            match self.chunk {
                Chunk::Size => match take_line(buffer)? {
                    None => return Ok(BodyProgress::Partial),
                    Some(line) => match chunk_size(&line)? {
                        0 => self.chunk = Chunk::Trailers,
                        size if size > self.max_bytes.saturating_sub(self.body.len()) => {
                            return Ok(BodyProgress::TooLarge);
                        }
                        size => self.chunk = Chunk::Data(size),
                    },
                },
                Chunk::Data(left) => {
                    let taken = left.min(buffer.len());
                    self.body.extend(buffer.drain(..taken));
                    if taken < left {
                        self.chunk = Chunk::Data(left - taken);
                        return Ok(BodyProgress::Partial);
                    }
                    self.chunk = Chunk::DataEnd;
                }
                Chunk::DataEnd => match take_line(buffer)? {
                    None => return Ok(BodyProgress::Partial),
                    Some(line) if line.is_empty() => self.chunk = Chunk::Size,
                    Some(_) => return Err(HeadError::BadEncoding),
                },
                Chunk::Trailers => match take_line(buffer)? {
                    None => return Ok(BodyProgress::Partial),
                    Some(line) if line.is_empty() => return Ok(BodyProgress::Whole),
                    Some(_) => {}
                },
            }
        }
    }

    fn partial(&self) -> BodyProgress {
        match self.body.len() > self.max_bytes {
            true => BodyProgress::TooLarge,
            false => BodyProgress::Partial,
        }
    }
}

fn take_line(buffer: &mut Vec<u8>) -> Result<Option<Vec<u8>>, HeadError> {
    let Some(at) = buffer.iter().position(|&byte| byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES { Err(HeadError::BadEncoding) } else { Ok(None) };
    };
    let mut line: Vec<u8> = buffer.drain(..=at).collect();
    line.pop();
    match line.pop() {
        Some(b'\r') => Ok(Some(line)),
        _ => Err(HeadError::BareLineFeed),
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
