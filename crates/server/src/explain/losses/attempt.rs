//! Parses failed attempts at members and failed connections from the texts of log lines.
//!
//! The gateway writes these texts in `attempts` of `statement ended` and in `error` of `member cannot be
//! connected to`. An unknown text counts as [`AttemptFailure::Other`] or [`ConnectFailure::Other`], so that
//! no failure is hidden.

/// Separator between the attempts of one line.
const SEPARATOR: &str = "; ";
/// Text before the name of a member, in most attempts.
const BEFORE_MEMBER: &str = " at ";
/// Text before the name of a member, in attempts that begin with the member.
const MEMBER_PREFIX: &str = "member ";
/// Parts of attempts' texts with the failure that they mean; the first part that a text contains decides.
const ATTEMPT_TEXTS: [(&str, AttemptFailure); 10] = [
    ("Lagging at ", AttemptFailure::Lagging),
    ("ReadOnly at ", AttemptFailure::NotPrimary),
    ("Busy at ", AttemptFailure::Full),
    ("TooManyConnections at ", AttemptFailure::Full),
    ("takes no more connections", AttemptFailure::Full),
    ("no answer in time", AttemptFailure::Silent),
    ("is silent", AttemptFailure::Silent),
    ("closed the connection", AttemptFailure::Lost),
    ("the connection failed", AttemptFailure::Lost),
    ("cannot be connected to", AttemptFailure::Lost),
];
/// Prefix of a connection's error when the member accepts no more connections.
const CONNECT_FULL_PREFIX: &str = "refused with TooManyConnections";
/// Prefixes of a connection's error when nothing answers at the member's address, or another member does.
const CONNECT_UNREACHABLE_PREFIXES: [&str; 2] = ["unreachable: ", "refused with WrongMember"];

/// Reason why an attempt to run a statement at a member gave no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The member has not reached the position that the read needs.
    Lagging,
    /// The member has no free slot or accepts no more connections.
    Full,
    /// The member is not the primary.
    NotPrimary,
    /// No answer came from the member or from the gateway that holds the connection.
    Silent,
    /// The connection failed or could not be opened.
    Lost,
    /// Any other failure.
    Other,
}

/// A failed attempt to run a statement at a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Reason of the failure.
    pub kind: AttemptFailure,
    /// Name of the member, where the text names one.
    pub member: Option<String>,
}

impl Attempt {
    /// Parses the attempts of one line, in their order.
    #[must_use]
    pub fn parse_list(attempts: &str) -> Vec<Self> {
        attempts.split(SEPARATOR).filter(|text| !text.is_empty()).map(Self::parse).collect()
    }

    fn parse(text: &str) -> Self {
        let matching = ATTEMPT_TEXTS.iter().find(|(part, _)| text.contains(part));
        let kind = matching.map_or(AttemptFailure::Other, |(_, kind)| *kind);
        let name_at_end = text.rsplit_once(BEFORE_MEMBER).map(|(_, member)| member);
        let name_at_start = || text.strip_prefix(MEMBER_PREFIX)?.split(' ').next();
        Self { kind, member: name_at_end.or_else(name_at_start).map(str::to_owned) }
    }
}

/// Reason why a connection to a member could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The member accepts no more connections.
    Full,
    /// Nothing answers at the member's address, or another member does.
    Unreachable,
    /// The member was reached and was not ready, or the error is unknown.
    Other,
}

impl ConnectFailure {
    /// Classifies the error of a line.
    #[must_use]
    pub fn parse(error: &str) -> Self {
        if error.starts_with(CONNECT_FULL_PREFIX) {
            Self::Full
        } else if CONNECT_UNREACHABLE_PREFIXES.iter().any(|start| error.starts_with(start)) {
            Self::Unreachable
        } else {
            Self::Other
        }
    }
}
