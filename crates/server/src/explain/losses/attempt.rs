//! What was asked of a member in vain, read from the texts of log lines.
//!
//! It is for the counts of [`super::counts`]. It owns what the texts in `attempts` of `statement ended` and in
//! `error` of `member cannot be connected to` mean; the gateway writes them. A text that it does not know counts
//! as [`AttemptKind::Other`] or [`DialKind::Other`], so that nothing is hidden.

/// Between the attempts of one line.
const SEPARATOR: &str = "; ";
/// Before the name of a member, in most texts.
const AT_MEMBER: &str = " at ";
/// Before the name of a member, in texts that begin with it.
const MEMBER: &str = "member ";
/// Texts of attempts by what they mean; a text belongs to the first that it contains.
const ATTEMPTS: [(&str, AttemptKind); 10] = [
    ("Lagging at ", AttemptKind::Lagging),
    ("ReadOnly at ", AttemptKind::NotPrimary),
    ("Busy at ", AttemptKind::Full),
    ("TooManyConnections at ", AttemptKind::Full),
    ("takes no more connections", AttemptKind::Full),
    ("no answer in time", AttemptKind::Silent),
    ("is silent", AttemptKind::Silent),
    ("closed the connection", AttemptKind::Lost),
    ("the connection failed", AttemptKind::Lost),
    ("cannot be connected to", AttemptKind::Lost),
];
/// What the error of a refused connection begins with where the member has all that it takes.
const DIAL_FULL: &str = "refused with TooManyConnections";
/// What the error begins with where nothing answers at the member's address, or another member does.
const DIAL_UNREACHABLE: [&str; 2] = ["unreachable: ", "refused with WrongMember"];

/// Why a member that was offered a statement gave no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// It lacks the position that the read needs.
    Lagging,
    /// It has no slot or takes no more connections.
    Full,
    /// It is not the primary.
    NotPrimary,
    /// No answer came, from it or from the gateway that holds the connection.
    Silent,
    /// The connection broke, or could not be opened.
    Lost,
    /// Anything else.
    Other,
}

/// One offer of a statement that was in vain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Why.
    pub kind: AttemptKind,
    /// The member, where the text names one.
    pub member: Option<String>,
}

impl Attempt {
    /// The attempts that one line tells, in their order.
    #[must_use]
    pub fn list(attempts: &str) -> Vec<Self> {
        attempts.split(SEPARATOR).filter(|text| !text.is_empty()).map(Self::read).collect()
    }

    fn read(text: &str) -> Self {
        let known = ATTEMPTS.iter().find(|(part, _)| text.contains(part));
        let kind = known.map_or(AttemptKind::Other, |(_, kind)| *kind);
        let behind = text.rsplit_once(AT_MEMBER).map(|(_, member)| member);
        let ahead = || text.strip_prefix(MEMBER)?.split(' ').next();
        Self { kind, member: behind.or_else(ahead).map(str::to_owned) }
    }
}

/// Why a connection to a member could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialKind {
    /// The member takes no more connections.
    Full,
    /// Nothing answers at its address, or another member does.
    Unreachable,
    /// It was reached and was not ready, or the error is not known.
    Other,
}

impl DialKind {
    /// Reads the error of a line.
    #[must_use]
    pub fn read(error: &str) -> Self {
        if error.starts_with(DIAL_FULL) {
            Self::Full
        } else if DIAL_UNREACHABLE.iter().any(|start| error.starts_with(start)) {
            Self::Unreachable
        } else {
            Self::Other
        }
    }
}
