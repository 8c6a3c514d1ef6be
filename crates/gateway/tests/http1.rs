//! Framing of requests and responses: what is accepted and refused, and where bodies end.
#![allow(clippy::unwrap_used)]

use gateway::http1::{
    BodyProgress, BodyReader, Framing, HeadError, HeaderChanges, RequestError, ResponseHeadReader,
    read_request, write_request_head,
};
use rstest::rstest;

const MAX_HEAD: usize = 512;

fn request(text: &str) -> Result<Option<gateway::http1::RequestHead>, RequestError> {
    read_request(&mut text.as_bytes().to_vec(), MAX_HEAD)
}

#[rstest]
#[case::plain("GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n", Framing::Length(0), true)]
#[case::length(
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n",
    Framing::Length(5),
    true
)]
#[case::chunks(
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
    Framing::Chunked,
    true
)]
#[case::closing(
    "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    Framing::Length(0),
    false
)]
#[case::http_1_0("GET /a HTTP/1.0\r\nHost: x\r\n\r\n", Framing::Length(0), false)]
#[case::http_1_0_keep_alive(
    "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    Framing::Length(0),
    true
)]
#[case::empty_lines_before("\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n", Framing::Length(0), true)]
fn valid_requests_are_parsed(#[case] text: &str, #[case] framing: Framing, #[case] keeps: bool) {
    let head = request(text).unwrap().unwrap();
    assert_eq!((head.framing, head.keeps_alive), (framing, keeps));
    assert_eq!(head.path(), "/a");
}

#[rstest]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
    HeadError::BadLength
)]
#[case::same_length_twice(
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
    HeadError::BadLength
)]
#[case::length_list("POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n", HeadError::BadLength)]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", HeadError::BadLength)]
#[case::length_and_chunks(
    "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    HeadError::BadEncoding
)]
#[case::other_encoding(
    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    HeadError::BadEncoding
)]
#[case::chunks_in_http_1_0(
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    HeadError::BadEncoding
)]
#[case::bare_line_feed("GET / HTTP/1.1\nHost: x\r\nA: b\r\n\r\n", HeadError::BareLineFeed)]
#[case::bare_line_feeds_only("GET / HTTP/1.1\nHost: x\n\n", HeadError::BareLineFeed)]
#[case::folded("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", HeadError::Malformed)]
#[case::space_before_colon("GET / HTTP/1.1\r\nA : b\r\n\r\n", HeadError::Malformed)]
#[case::no_version("GET /\r\n\r\n", HeadError::Malformed)]
#[case::two_hosts("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", HeadError::Malformed)]
fn malformed_requests_are_refused(#[case] text: &str, #[case] error: HeadError) {
    assert_eq!(request(text).unwrap_err(), RequestError::Head(error));
}

#[test]
fn a_head_over_the_limit_is_refused_before_it_ends() {
    let endless = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(MAX_HEAD));
    assert_eq!(request(&endless).unwrap_err(), RequestError::HeadTooLarge);
    let whole = format!("{endless}\r\n\r\n");
    assert_eq!(request(&whole).unwrap_err(), RequestError::HeadTooLarge);
}

#[test]
fn an_incomplete_head_is_not_parsed_yet() {
    assert!(request("GET / HTTP/1.1\r\nHost: x\r\n").unwrap().is_none());
}

#[test]
fn bytes_after_a_head_stay_in_the_buffer() {
    let mut buffer = b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n".to_vec();
    assert_eq!(read_request(&mut buffer, MAX_HEAD).unwrap().unwrap().target, "/1");
    assert_eq!(read_request(&mut buffer, MAX_HEAD).unwrap().unwrap().target, "/2");
    assert!(buffer.is_empty());
}

/// Feeds a body byte by byte; returns the last result, the body and the remaining bytes.
fn body(framing: Framing, text: &str) -> (Result<BodyProgress, HeadError>, String, String) {
    let mut reader = BodyReader::new(framing, 64);
    let mut buffer = Vec::new();
    let mut end = Ok(BodyProgress::Partial);
    for byte in text.bytes() {
        buffer.push(byte);
        if end == Ok(BodyProgress::Partial) {
            end = reader.read_from(&mut buffer);
        }
    }
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (end, text(reader.into_body()), text(buffer))
}

#[rstest]
#[case::length(Framing::Length(5), "helloGET", "hello", "GET")]
#[case::chunks(Framing::Chunked, "5\r\nhello\r\n1;x=y\r\n!\r\n0\r\n\r\nGET", "hello!", "GET")]
#[case::trailers(Framing::Chunked, "2\r\nhi\r\n0\r\nA: b\r\n\r\nGET", "hi", "GET")]
fn bodies_end_as_their_framing_says(
    #[case] framing: Framing,
    #[case] text: &str,
    #[case] wanted: &str,
    #[case] left: &str,
) {
    assert_eq!(body(framing, text), (Ok(BodyProgress::Whole), wanted.to_owned(), left.to_owned()));
}

#[rstest]
#[case::not_hex("x\r\n", HeadError::BadEncoding)]
#[case::empty_size("\r\n", HeadError::BadEncoding)]
#[case::signed_size("-1\r\n", HeadError::BadEncoding)]
#[case::bare_line_feed("5\nhello\n", HeadError::BareLineFeed)]
#[case::data_past_its_size("2\r\nhello\r\n", HeadError::BadEncoding)]
fn malformed_chunks_are_refused(#[case] text: &str, #[case] error: HeadError) {
    assert_eq!(body(Framing::Chunked, text).0, Err(error));
}

#[rstest]
#[case::length(Framing::Length(65), "x")]
#[case::chunk(Framing::Chunked, "41\r\n")]
#[case::chunks(Framing::Chunked, "20\r\n................................\r\n21\r\n")]
fn bodies_over_the_limit_are_refused(#[case] framing: Framing, #[case] text: &str) {
    assert_eq!(body(framing, text).0, Ok(BodyProgress::TooLarge));
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true, Framing::Length(2), true)]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\n", true, Framing::UntilClose, false)]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n", true, Framing::Length(0), true)]
#[case::head("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false, Framing::Length(0), true)]
#[case::closing(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n",
    true,
    Framing::Length(2),
    false
)]
#[case::after_an_interim_response(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    true,
    Framing::Length(2),
    true
)]
fn valid_responses_are_parsed(
    #[case] text: &str,
    #[case] has_body: bool,
    #[case] framing: Framing,
    #[case] keeps: bool,
) {
    let head = ResponseHeadReader::new(has_body)
        .read_from(&mut text.as_bytes().to_vec())
        .unwrap()
        .unwrap();
    assert_eq!((head.framing, head.keeps_alive), (framing, keeps));
}

#[rstest]
#[case::no_http("SSH-2.0\r\n")]
#[case::no_beginning_of_http("HTTQ")]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n")]
fn malformed_responses_are_refused(#[case] text: &str) {
    assert!(ResponseHeadReader::new(true).read_from(&mut text.as_bytes().to_vec()).is_err());
}

/// Guards against trailers without end, which a caller may send for as long as it likes.
#[rstest]
#[case::some(64, Ok(BodyProgress::Whole))]
#[case::too_many(65, Err(HeadError::BadEncoding))]
fn the_number_of_trailers_is_bounded(
    #[case] trailers: usize,
    #[case] expected: Result<BodyProgress, HeadError>,
) {
    let text = format!("2\r\nab\r\n0\r\n{}\r\n", "x-a: b\r\n".repeat(trailers));
    let mut body = BodyReader::new(Framing::Chunked, 100);
    assert_eq!(body.read_from(&mut text.into_bytes()), expected);
}

#[test]
fn a_request_is_forwarded_without_its_hop_by_hop_headers() {
    let text = "POST /a?b HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\n\
                Transfer-Encoding: chunked\r\nX-Deadline: 900\r\nExpect: 100-continue\r\nX-Any: 2\r\n\r\n";
    let head = request(text).unwrap().unwrap();
    let added = [("x-deadline", "700"), ("x-expected", "i-1")];
    let changes = HeaderChanges { added: &added, is_dropped: &|_, _| false };
    for (framing, line) in [
        (Framing::Length(5), "content-length: 5"),
        (Framing::Length(0), "content-length: 0"),
        (Framing::Chunked, "transfer-encoding: chunked"),
    ] {
        let out = String::from_utf8(write_request_head(&head, framing, &changes)).unwrap();
        assert_eq!(
            out,
            format!(
                "POST /a?b HTTP/1.1\r\nHost: x\r\nX-Any: 2\r\nx-deadline: 700\r\n\
                 x-expected: i-1\r\n{line}\r\n\r\n"
            )
        );
    }
}

/// Guards against the failure of review/2: each chunk moves all that is behind it, so a body in small
/// chunks costs the square of its length. This one would take hours.
#[test]
fn a_body_in_small_chunks_costs_no_more_than_its_length() {
    const CHUNKS: usize = 2_000_000;
    let (done, is_done) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut buffer = b"4\r\nabcd\r\n".repeat(CHUNKS);
        buffer.extend_from_slice(b"0\r\n\r\nnext");
        let mut body = BodyReader::new(Framing::Chunked, usize::MAX);
        let progress = body.read_from(&mut buffer);
        done.send((progress, body.into_body().len(), buffer)).unwrap();
    });
    let read = is_done.recv_timeout(std::time::Duration::from_secs(60)).expect("it isn't linear");
    assert_eq!(read, (Ok(BodyProgress::Whole), 4 * CHUNKS, b"next".to_vec()));
}
