//! Decides whether the end of an endpoint's answer shows that the answer is complete.
//!
//! An answer that states its length or comes in chunks carries the proof of its end; the HTTP library reports an early end
//! as an error. An answer without either ends with its connection, which ends alike when the endpoint breaks the answer
//! off. [`completeness`] states what each end proves (`docs/design/streams.md`).
//!
//! ```
//! use limehollow::answer_end::{Completeness, EventScanner, Framing, completeness};
//!
//! let mut scanner = EventScanner::default();
//! scanner.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! let progress = scanner.progress();
//! assert_eq!(completeness(Framing::UntilClose, progress), Completeness::BrokenOff);
//! ```

/// How an answer's head frames its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head states the length, or that there is no body.
    Length,
    /// The body comes in chunks, of which the last is empty.
    Chunks,
    /// The body ends with its connection.
    UntilClose,
}

impl Framing {
    /// Returns the name for log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::UntilClose => "until close",
        }
    }
}

/// How far a body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The body isn't a stream of events, so its bytes don't show where it may end.
    NotEvents,
    /// No event has ended so far, and none has begun.
    NoEvent,
    /// The last event has ended and no other has begun.
    BetweenEvents,
    /// An event, or a line outside an event, has begun and not ended.
    InsideEvent,
}

impl Progress {
    /// Returns the name for log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotEvents => "not a stream",
            Self::NoEvent => "no event",
            Self::BetweenEvents => "between events",
            Self::InsideEvent => "inside an event",
        }
    }
}

/// What the orderly end of a body shows. A body whose connection is reset is always broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// The framing proves that the answer is complete.
    Proven,
    /// Nothing contradicts that the answer is complete, unless its endpoint has crashed at that moment.
    Assumed,
    /// The answer is incomplete.
    BrokenOff,
}

/// Returns what the orderly end of a body with this framing shows after this progress.
#[must_use]
pub fn completeness(framing: Framing, progress: Progress) -> Completeness {
    match (framing, progress) {
        // A stream has at least one event.
        (_, Progress::InsideEvent) | (Framing::UntilClose, Progress::NoEvent) => {
            Completeness::BrokenOff
        }
        (Framing::Length | Framing::Chunks, _) => Completeness::Proven,
        (Framing::UntilClose, Progress::NotEvents | Progress::BetweenEvents) => {
            Completeness::Assumed
        }
    }
}

/// The name of the field without which a block of lines is no event.
const DATA: &[u8] = b"data";

/// The line that the scanner is in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing of it has arrived.
    #[default]
    Empty,
    /// A comment.
    Comment,
    /// So many bytes of [`DATA`], and nothing else.
    DataName(usize),
    /// A data field.
    Data,
    /// Another field.
    Other,
}

/// The end of the last line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineEnd {
    /// A line feed, or no line has ended.
    #[default]
    Lf,
    /// A carriage return; a line feed that follows belongs to it.
    Cr,
    /// A carriage return after a line that ended with both, so that its line feed is still to come.
    HalfCrLf,
    /// A carriage return and its line feed.
    CrLf,
}

/// The fields since the last empty line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fields {
    #[default]
    None,
    WithoutData,
    WithData,
}

/// Follows the bytes of an event stream and keeps the position within an event, wherever the pieces are divided.
///
/// The format is that of `text/event-stream`: lines end with CR, LF or both, an empty line ends an event, and a line that
/// begins with a colon is a comment.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    line: Line,
    last_end: LineEnd,
    fields: Fields,
    has_event: bool,
    /// The bytes since an event, or a line outside an event, began that hasn't ended.
    begun: u64,
}

impl EventScanner {
    /// Adds the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        for b in piece {
            self.push_byte(*b);
            self.begun = if self.is_at_end() {
                0
            } else {
                self.begun.saturating_add(1)
            };
        }
    }

    /// Returns the position at the end of the pieces so far.
    #[must_use]
    pub fn progress(&self) -> Progress {
        match (self.is_at_end(), self.has_event) {
            (false, _) => Progress::InsideEvent,
            (true, true) => Progress::BetweenEvents,
            (true, false) => Progress::NoEvent,
        }
    }

    /// Returns how many bytes have come of an event, or of a line outside an event, that has begun and not ended.
    #[must_use]
    pub fn event_bytes(&self) -> u64 {
        self.begun
    }

    fn is_at_end(&self) -> bool {
        self.line == Line::Empty
            && self.fields == Fields::None
            && self.last_end != LineEnd::HalfCrLf
    }

    fn push_byte(&mut self, b: u8) {
        let after_cr = matches!(self.last_end, LineEnd::Cr | LineEnd::HalfCrLf);
        match b {
            b'\n' if after_cr && self.line == Line::Empty => self.last_end = LineEnd::CrLf,
            b'\n' => self.end_line(LineEnd::Lf),
            b'\r' if self.last_end == LineEnd::CrLf => self.end_line(LineEnd::HalfCrLf),
            b'\r' => self.end_line(LineEnd::Cr),
            _ => self.extend_line(b),
        }
    }

    fn extend_line(&mut self, b: u8) {
        self.line = match self.line {
            Line::Empty if b == b':' => Line::Comment,
            Line::Empty if b == DATA[0] => Line::DataName(1),
            Line::Comment => Line::Comment,
            Line::DataName(n) if DATA.get(n) == Some(&b) => Line::DataName(n + 1),
            Line::DataName(n) if n == DATA.len() && b == b':' => Line::Data,
            Line::Data => Line::Data,
            Line::Empty | Line::DataName(_) | Line::Other => Line::Other,
        };
    }

    fn end_line(&mut self, end: LineEnd) {
        match self.line {
            Line::Empty => self.end_event(),
            Line::Comment => {}
            Line::DataName(n) if n == DATA.len() => self.fields = Fields::WithData,
            Line::Data => self.fields = Fields::WithData,
            Line::DataName(_) | Line::Other => {
                if self.fields == Fields::None {
                    self.fields = Fields::WithoutData;
                }
            }
        }
        self.line = Line::Empty;
        self.last_end = end;
    }

    fn end_event(&mut self) {
        self.has_event |= self.fields == Fields::WithData;
        self.fields = Fields::None;
    }
}
