//! What is read of answers into memory, without a network.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use limehollow_node::answer_memory::{AnswerMemory, BodyRead};
use std::convert::Infallible;
use std::error::Error;
use std::io;

const MAX_EACH: usize = 10_000;
const ALL: usize = 40_000;

fn piece(len: usize) -> Frame<Bytes> {
    Frame::data(Bytes::from(vec![b'x'; len]))
}

/// Returns a body without a stated length.
fn in_pieces(pieces: usize, len: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let pieces = (0..pieces).map(move |_| Ok(piece(len)));
    StreamBody::new(futures_util::stream::iter(pieces))
}

async fn read<B>(memory: &AnswerMemory, body: B) -> BodyRead<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Error,
{
    memory.read(body).await.expect("it doesn't fail")
}

fn whole<B>(read: BodyRead<B>) -> Option<Bytes> {
    match read {
        BodyRead::Whole(bytes) => Some(bytes),
        BodyRead::Beginning(..) => None,
    }
}

/// Guards against pieces that are lost, or counted twice, at the bound of one answer.
#[tokio::test]
async fn body_at_the_bound_is_whole() {
    for (pieces, len) in [(0, 0), (1, MAX_EACH), (MAX_EACH, 1), (10, 1000), (3, 3333)] {
        let memory = AnswerMemory::new(MAX_EACH, ALL);
        let got = whole(read(&memory, in_pieces(pieces, len)).await);
        assert_eq!(
            got.map(|b| b.len()),
            Some(pieces * len),
            "{pieces} of {len}"
        );
    }
}

/// Guards against bytes that are lost between what is read first and what is passed on as it comes.
#[tokio::test]
async fn body_over_the_bound_is_returned_with_its_rest() {
    for (pieces, len) in [(2, MAX_EACH), (MAX_EACH + 1, 1), (11, 1000), (500, 333)] {
        let memory = AnswerMemory::new(MAX_EACH, ALL);
        let BodyRead::Beginning(beginning, rest) = read(&memory, in_pieces(pieces, len)).await
        else {
            panic!("{pieces} of {len} is over the bound");
        };
        assert!(beginning.len() <= MAX_EACH + len, "{pieces} of {len}");
        let rest = rest.collect().await.expect("it doesn't fail").to_bytes();
        assert_eq!(beginning.len() + rest.len(), pieces * len);
    }
}

/// Guards against memory that is taken for a body whose stated length can't fit.
#[tokio::test]
async fn body_with_a_length_over_the_bound_is_not_read() {
    let memory = AnswerMemory::new(MAX_EACH, ALL);
    let body = Full::new(Bytes::from(vec![b'x'; MAX_EACH + 1]));
    match read(&memory, body).await {
        BodyRead::Beginning(beginning, _) => assert!(beginning.is_empty()),
        BodyRead::Whole(_) => panic!("it is over the bound"),
    }
}

/// Guards against many answers that together take more than all may have, and against memory that isn't returned.
#[tokio::test]
async fn bodies_together_keep_the_bound_until_they_are_dropped() {
    let memory = AnswerMemory::new(MAX_EACH, ALL);
    for _ in 0..3 {
        let mut held = Vec::new();
        for _ in 0..ALL / MAX_EACH {
            held.push(whole(read(&memory, in_pieces(1, MAX_EACH)).await).expect("it fits"));
        }
        assert!(whole(read(&memory, in_pieces(1, 1)).await).is_none());
        held.pop();
        assert!(whole(read(&memory, in_pieces(1, MAX_EACH)).await).is_some());
    }
}

/// Guards against a body that fails counting as whole, and against its memory not being returned.
#[tokio::test]
async fn body_that_fails_is_an_error() {
    let memory = AnswerMemory::new(MAX_EACH, MAX_EACH);
    let ends = [
        Ok(Frame::data(Bytes::from_static(b"half"))),
        Err(io::Error::other("it is broken off")),
    ];
    let body = StreamBody::new(futures_util::stream::iter(ends));
    assert!(memory.read(body).await.is_err());
    assert!(whole(read(&memory, in_pieces(1, MAX_EACH)).await).is_some());
}
