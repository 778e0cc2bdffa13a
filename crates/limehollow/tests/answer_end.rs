//! Tests of what the end of an answer proves.

use bolero::check;
use limehollow::answer_end::{Completeness, EventScanner, Framing, Progress, completeness};

fn progress(stream: &str) -> Progress {
    let mut s = EventScanner::default();
    s.push(stream.as_bytes());
    s.progress()
}

#[test]
fn completeness_of_each_framing_and_progress() {
    use Completeness::{Assumed, BrokenOff, Proven};
    use Progress::{BetweenEvents, InsideEvent, NoEvent, NotEvents};
    let table = [
        (NotEvents, [Proven, Proven, Assumed]),
        (NoEvent, [Proven, Proven, BrokenOff]),
        (BetweenEvents, [Proven, Proven, Assumed]),
        (InsideEvent, [BrokenOff, BrokenOff, BrokenOff]),
    ];
    for (p, expected) in table {
        let framings = [Framing::Length, Framing::Chunks, Framing::UntilClose];
        assert_eq!(framings.map(|f| completeness(f, p)), expected, "{p:?}");
    }
}

#[test]
fn progress_for_each_line_end() {
    for end in ["\n", "\r", "\r\n"] {
        let events = format!("id: 1{end}data: a{end}{end}");
        assert_eq!(progress(&events), Progress::BetweenEvents, "{end:?}");
        for begun in ["i", "id: 2", "id: 2\n", "data", "data: b", "data: b\r\n"] {
            let text = format!("{events}{begun}");
            assert_eq!(progress(&text), Progress::InsideEvent, "{text:?}");
        }
    }
}

#[test]
fn progress_within_a_line_end() {
    let half = "id: 1\r\ndata: a\r\n\r";
    assert_eq!(progress(half), Progress::InsideEvent);
    assert_eq!(progress(&format!("{half}\n")), Progress::BetweenEvents);
}

#[test]
fn progress_without_an_event() {
    for text in [
        "",
        "\n",
        ": hello\n",
        ": hello\n\n",
        "id: 1\n\n",
        "dat: a\n\n",
        "datax: a\n\n",
    ] {
        assert_eq!(progress(text), Progress::NoEvent, "{text:?}");
    }
    for text in ["data\n\n", "data:\n\n", "id: 1\ndata: a\n\n"] {
        assert_eq!(progress(text), Progress::BetweenEvents, "{text:?}");
    }
}

#[test]
fn progress_with_a_comment_after_the_last_event() {
    assert_eq!(progress("data: a\n\n: end\n"), Progress::BetweenEvents);
    assert_eq!(progress("data: a\n\n: en"), Progress::InsideEvent);
}

#[test]
fn progress_is_the_same_however_the_stream_is_divided() {
    check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(bytes, cuts)| {
            let alphabet = b"da:t \r\n";
            let stream: Vec<u8> = bytes
                .iter()
                .map(|b| alphabet[usize::from(*b) % alphabet.len()])
                .collect();
            let mut whole = EventScanner::default();
            whole.push(&stream);
            let (mut pieces, mut rest) = (EventScanner::default(), &stream[..]);
            for cut in cuts {
                let (piece, later) = rest.split_at(usize::from(*cut).min(rest.len()));
                pieces.push(piece);
                rest = later;
            }
            pieces.push(rest);
            assert_eq!(whole.progress(), pieces.progress());
        });
}
