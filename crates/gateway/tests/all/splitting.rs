//! Splitting of event streams and of chunked bodies.

use bytes::BytesMut;
use dragonflycart_gateway::{ChunkDecoder, ConnectionError, DecodedChunk, EventSplitter};
use proptest::prelude::*;

/// An engine that shuts down may cut off its stream in the middle of an event.
#[test]
fn unfinished_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\ndata: x\n\nid: 5\nda");

    let first = splitter.next_event().unwrap().unwrap();

    assert_eq!(first.id, Some(4));
    assert_eq!(&first.bytes[..], b"id: 4\ndata: x\n\n");
    assert_eq!(splitter.next_event().unwrap(), None);
    assert!(splitter.has_partial());
}

#[test]
fn event_with_a_further_first_line_keeps_its_number() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"weight-versions: 2\r\nid: 17\r\ndata: x\r\n\r\n");

    assert_eq!(splitter.next_event().unwrap().unwrap().id, Some(17));
    assert!(!splitter.has_partial());
}

#[test]
fn broken_chunk_sizes_are_refused() {
    for bytes in [&b"x\r\n"[..], b"-1\r\n", b"\r\n", b"3\r\nabcd\r\n"] {
        let mut decoder = ChunkDecoder::new();
        let mut buffer = BytesMut::from(bytes);
        let mut result = decoder.decode(&mut buffer);
        while let Ok(DecodedChunk::Data(_)) = result {
            result = decoder.decode(&mut buffer);
        }
        assert_eq!(result, Err(ConnectionError::Malformed), "{bytes:?}");
    }
}

/// Guards against a body whose trailer section has no end: it gives no data, so that no limit on the
/// size of a body ends it.
#[test]
fn trailer_section_without_an_end_is_refused() {
    let mut decoder = ChunkDecoder::new();
    let mut buffer = BytesMut::from(&b"2\r\nab\r\n0\r\n"[..]);
    let mut result = decoder.decode(&mut buffer);
    assert_eq!(result, Ok(DecodedChunk::Data("ab".into())));
    let mut bytes = 0;

    while bytes < 1024 * 1024 {
        buffer.extend_from_slice(b"x: y\r\n");
        bytes += 6;
        result = decoder.decode(&mut buffer);
        if result != Ok(DecodedChunk::NeedsMore) {
            break;
        }
    }

    assert_eq!(result, Err(ConnectionError::Malformed), "after {bytes} bytes");
}

/// A limit on the trailer section must not refuse a usual one.
#[test]
fn usual_trailer_section_ends_a_body() {
    let mut decoder = ChunkDecoder::new();
    let trailers = "digest: 0123456789abcdef\r\n".repeat(20);
    let mut buffer = BytesMut::from(format!("0\r\n{trailers}\r\n").as_bytes());

    assert_eq!(decoder.decode(&mut buffer), Ok(DecodedChunk::End));
    assert!(buffer.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// The events do not depend on how the network splits the bytes.
    #[test]
    fn events_do_not_depend_on_the_cuts(
        lengths in prop::collection::vec(0_usize..40, 1..12),
        cuts in prop::collection::vec(1_usize..17, 1..200),
    ) {
        let mut stream = Vec::new();
        for (id, length) in lengths.iter().enumerate() {
            stream.extend_from_slice(format!("id: {id}\ndata: {}\n\n", "z".repeat(*length)).as_bytes());
        }
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut joined = Vec::new();
        let mut rest = &stream[..];
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, tail) = rest.split_at((*cut).min(rest.len()));
            rest = tail;
            splitter.push(piece);
            while let Some(event) = splitter.next_event().unwrap() {
                ids.push(event.id.unwrap());
                joined.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(ids, (0..lengths.len() as u64).collect::<Vec<_>>());
        prop_assert_eq!(joined, stream);
    }

    /// The decoded body does not depend on how the network splits the bytes.
    #[test]
    fn chunks_do_not_depend_on_the_cuts(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..50), 0..8),
        cut in 1_usize..13,
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\n");
        let mut decoder = ChunkDecoder::new();
        let mut buffer = BytesMut::new();
        let mut body = Vec::new();
        let mut is_done = false;
        for piece in wire.chunks(cut) {
            buffer.extend_from_slice(piece);
            loop {
                match decoder.decode(&mut buffer).unwrap() {
                    DecodedChunk::Data(data) => body.extend_from_slice(&data),
                    DecodedChunk::End => {
                        is_done = true;
                        break;
                    }
                    DecodedChunk::NeedsMore => break,
                }
            }
        }
        prop_assert!(is_done);
        prop_assert_eq!(body, chunks.concat());
    }
}
