//! Parsers of what servers send: for any bytes, split in any way, there is a result that does not
//! depend on the split, and what is kept is bounded.

use bytes::BytesMut;
use dragonflycart_gateway::{
    ChunkDecoder, ConnectionError, DecodedChunk, EventSplitter, ResponseHead,
};
use proptest::{prelude::*, sample::select, test_runner::RngSeed};

/// Maximum length of a size line of a chunk, in bytes.
const SIZE_LINE_BYTES: usize = 256;
/// Bytes that the decoder of chunks may leave for its next step: a trailer section of at most 16 KiB,
/// with half of its line end.
const LINE_BYTES: usize = 16 * 1024 + 1;

/// Returns texts of a parser's language in any order, with other bytes between them.
fn texts(words: &'static [&'static str]) -> impl Strategy<Value = Vec<u8>> {
    let text = prop_oneof![
        8 => select(words).prop_map(|word| word.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 1..8),
        1 => (any::<u8>(), prop_oneof![100_usize..300, 16_000_usize..17_000])
            .prop_map(|(byte, count)| vec![byte; count]),
    ];
    prop::collection::vec(text, 0..24).prop_map(|texts| texts.concat())
}

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(prop_oneof![1_usize..5, 1_usize..200], 1..20)
}

/// Splits `bytes` into pieces of the lengths of `cuts`, again and again.
fn pieces<'a>(mut bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    for cut in cuts.iter().cycle() {
        if bytes.is_empty() {
            break;
        }
        let (piece, rest) = bytes.split_at((*cut).min(bytes.len()));
        pieces.push(piece);
        bytes = rest;
    }
    pieces
}

/// Returns the length of the first head, after each piece as a connection parses it.
fn parse_head(pieces: &[&[u8]]) -> Result<Option<usize>, ConnectionError> {
    let mut buffer = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        if let Some((head, length)) = ResponseHead::parse(&buffer)? {
            let _times = (head.retry_after(), head.idle_limit());
            return Ok(Some(length));
        }
    }
    Ok(None)
}

/// Returns the data of a chunked body and how its decoding ended.
fn decode_chunks(pieces: &[&[u8]]) -> (Vec<u8>, Result<DecodedChunk, ConnectionError>) {
    let (mut decoder, mut buffer) = (ChunkDecoder::new(), BytesMut::new());
    let mut body = Vec::new();
    let mut result = Ok(DecodedChunk::NeedsMore);
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            result = decoder.decode(&mut buffer);
            let Ok(DecodedChunk::Data(data)) = &result else { break };
            assert!(!data.is_empty(), "a step without an effect");
            body.extend_from_slice(data);
        }
        match result {
            Ok(DecodedChunk::NeedsMore) => assert!(buffer.len() <= LINE_BYTES, "{}", buffer.len()),
            _ => break,
        }
    }
    (body, result)
}

/// Returns the numbers and the bytes of the events, and what is left.
fn split_events(pieces: &[&[u8]]) -> (Vec<Option<u64>>, Vec<u8>, usize) {
    let mut splitter = EventSplitter::default();
    let (mut ids, mut joined) = (Vec::new(), Vec::new());
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event().expect("smaller than the limit") {
            assert!(!event.bytes.is_empty(), "an event without bytes");
            ids.push(event.id);
            joined.extend_from_slice(&event.bytes);
        }
    }
    (ids, joined, splitter.buffered())
}

const HEAD_WORDS: &[&str] = &[
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.0 503 Busy\r\n",
    "HTTP/1.1 100 Continue\r\n",
    "HTTP/1.1 ",
    "200",
    "\r\n",
    "\r\n\r\n",
    "\n",
    ": ",
    "content-length: 5\r\n",
    "content-length: 99999999999999999999999\r\n",
    "transfer-encoding: chunked\r\n",
    "keep-alive: timeout=18446744073709551615\r\n",
    "retry-after: 1e300\r\n",
    "retry-after: -1\r\n",
    "connection: close\r\n",
];

const CHUNK_WORDS: &[&str] = &[
    "0\r\n",
    "0\r\n\r\n",
    "1\r\nx\r\n",
    "5;a=b\r\nabcde\r\n",
    "a\r\n",
    "ffffffffffffffff\r\n",
    "fffffffffffffffff\r\n",
    "-1\r\n",
    "x: y\r\n",
    "\r\n",
    "\r",
    "\n",
];

const EVENT_WORDS: &[&str] = &[
    "id: 1\n",
    "id:2\r\n",
    "id: 18446744073709551616\n",
    "id: x\n",
    "data: x\n",
    ": wait\n\n",
    "\n",
    "\n\n",
    "\r\n",
    "\r\n\r\n",
    "\r",
];

/// Guards against a size line that is accepted or refused by how the network splits it.
#[test]
fn length_of_a_size_line_is_limited_however_it_arrives() {
    for (length, is_accepted) in [(SIZE_LINE_BYTES, true), (SIZE_LINE_BYTES + 1, false)] {
        let line = format!("1;{}\r\n", "x".repeat(length - 2));
        let bytes = format!("{line}y\r\n0\r\n\r\n");
        for cut in [1, 2, length, length + 1, bytes.len()] {
            let (body, result) = decode_chunks(&pieces(bytes.as_bytes(), &[cut]));

            let expected =
                if is_accepted { Ok(DecodedChunk::End) } else { Err(ConnectionError::Malformed) };
            assert_eq!(result, expected, "{length} bytes in pieces of {cut}");
            assert_eq!(body.len(), usize::from(is_accepted));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, rng_seed: RngSeed::Fixed(22), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a head that panics the parser, or whose meaning depends on the network.
    #[test]
    fn heads_do_not_depend_on_the_cuts(bytes in texts(HEAD_WORDS), cuts in cuts()) {
        let whole = parse_head(&[&bytes]);

        prop_assert_eq!(parse_head(&pieces(&bytes, &cuts)), whole);
    }

    /// Guards against a body that panics the decoder, is kept without a bound, or whose meaning
    /// depends on the network.
    #[test]
    fn any_chunks_do_not_depend_on_the_cuts(bytes in texts(CHUNK_WORDS), cuts in cuts()) {
        let whole = decode_chunks(&[&bytes]);

        prop_assert!(whole.0.len() <= bytes.len());
        prop_assert_eq!(decode_chunks(&pieces(&bytes, &cuts)), whole);
    }

    /// Guards against events that panic the splitter, or get lost, repeated or changed.
    #[test]
    fn any_events_do_not_depend_on_the_cuts(bytes in texts(EVENT_WORDS), cuts in cuts()) {
        let whole = split_events(&[&bytes]);

        prop_assert_eq!(&whole.1[..], &bytes[..bytes.len() - whole.2]);
        prop_assert_eq!(split_events(&pieces(&bytes, &cuts)), whole);
    }
}
