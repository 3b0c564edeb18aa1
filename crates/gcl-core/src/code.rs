//! Numbered result codes. `docs/CODES.md` explains each one; numbers are never reused.
//!
//! Numbers below 200 mean that the request was not run. Numbers from 200 to 299 mean that its
//! outcome is unknown. Numbers from 300 report an error of a request that did run.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

macro_rules! codes {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $state:literal;)*) => {
        /// The result of a request, a connection or an operation.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum Code {
            $($(#[doc = $doc])* $name,)*
        }

        impl Code {
            /// Every code, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The number shown to callers and operators.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The SQLSTATE reported to callers.
            #[must_use]
            pub const fn sqlstate(self) -> &'static str {
                match self { $(Self::$name => $state,)* }
            }

            /// A one-sentence description, taken from the doc comment.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),*),)* }
            }
        }
    };
}

codes! {
    /// The password is not a key of the workspace.
    WrongKey = 101, "28P01";
    /// The key was withdrawn.
    KeyWithdrawn = 102, "28P01";
    /// The workspace does not exist.
    UnknownWorkspace = 103, "28000";
    /// The database service does not exist.
    UnknownService = 104, "3D000";
    /// No routing rule admits the request.
    NoRule = 105, "42501";
    /// The configuration is too old to trust a key.
    StaleConfiguration = 106, "57P03";
    /// The connection must be encrypted.
    EncryptionRequired = 107, "28000";
    /// The message breaks the protocol.
    Protocol = 108, "08P01";
    /// The message is larger than the limit.
    TooLarge = 109, "54000";
    /// The statement is not supported through the proxy.
    NotSupported = 110, "0A000";
    /// The session token is malformed or impossible.
    BadToken = 111, "22023";
    /// The option is unknown or out of range.
    BadOption = 112, "22023";
    /// Too many connections at this daemon.
    TooManyConnections = 113, "53300";
    /// The login took too long.
    LoginTimeout = 114, "57P05";
    /// The workspace is over its rate.
    RateLimited = 120, "53400";
    /// The queue for the backend server is full.
    QueueFull = 121, "53300";
    /// The request cannot meet its deadline.
    Deadline = 122, "57014";
    /// The daemon is draining.
    Draining = 123, "57P01";
    /// No primary is proven for the database.
    NoPrimary = 130, "57P03";
    /// No server can serve the read at the age it accepts.
    NoReplica = 131, "57P03";
    /// The home of the backend server is unreachable.
    HomeLost = 132, "57P03";
    /// The backend server refused or lost the connection before the request ran.
    ServerLost = 133, "57P03";
    /// The daemons hold different revisions of the routing rules.
    RevisionMismatch = 134, "57P03";
    /// The route key is being moved to another database.
    RouteClosed = 135, "57P03";
    /// The server is not the primary or is read-only.
    ReadOnly = 136, "25006";
    /// The transaction is gone; none of it was committed.
    TransactionLost = 137, "40001";
    /// The caller cancelled the request before it ran.
    Cancelled = 138, "57014";
    /// The request was refused by its tombstone: it can no longer run.
    Tombstone = 139, "57014";
    /// The prepared statement does not exist.
    UnknownStatement = 140, "26000";
    /// The session was idle for too long.
    IdleTimeout = 141, "57P05";
    /// The failure domain of the only server that could run the request is evacuated.
    DomainEvacuated = 142, "57P03";
    /// The server that could run the request is in a region that it may not visit.
    RegionNotAllowed = 143, "42501";
    /// The operator's token is wrong or lacks the role.
    Forbidden = 150, "42501";
    /// The object is malformed.
    BadObject = 151, "22023";
    /// The object was changed by someone else.
    Conflict = 152, "40001";
    /// The platform store did not answer.
    StoreUnavailable = 153, "57P03";
    /// The object does not exist.
    NotFound = 154, "42704";
    /// The settings are malformed.
    BadSettings = 155, "F0000";
    /// The connection was lost after the request may have run.
    OutcomeUnknown = 201, "08007";
    /// The commit was not held by a majority in time.
    MajorityUnknown = 202, "08007";
    /// The store's answer was lost after the change may have taken effect.
    ChangeUnknown = 203, "08007";
    /// The server took too long; the statement may have run.
    Timeout = 204, "57014";
    /// The answer is larger than the limit; the statement ran.
    AnswerTooLarge = 301, "54000";
}

impl Code {
    /// Whether the code guarantees that the request was not run.
    #[must_use]
    pub const fn not_run(self) -> bool {
        self.number() < 200
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "G{} {}", self.number(), self.text().trim().trim_end_matches('.'))
    }
}

/// A result code with details for the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The result code.
    pub code: Code,
    /// The specific cause; contains no secrets.
    pub detail: CompactString,
    /// The delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// Creates a fault without a retry delay.
    pub fn new(code: Code, detail: impl Into<CompactString>) -> Self {
        Self { code, detail: detail.into(), retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)?;
        if let Some(after) = self.retry_after {
            write!(f, " (retry after {} ms)", after.as_millis())?;
        }
        Ok(())
    }
}

impl std::error::Error for Fault {}

/// A result whose error carries a numbered code.
pub type Result<T> = std::result::Result<T, Fault>;
