//! The verbs, their operands and their options, for the parser and for help.

/// One option of the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flag {
    Author,
    Change,
    Entry,
    Force,
    Limit,
    Model,
    Origin,
    Out,
    Settings,
    Store,
    Timeout,
    Version,
    Wait,
    Watch,
}

impl Flag {
    /// Every option, in the order of help.
    pub(crate) const ALL: [Self; 14] = [
        Self::Author,
        Self::Change,
        Self::Entry,
        Self::Force,
        Self::Limit,
        Self::Model,
        Self::Origin,
        Self::Out,
        Self::Settings,
        Self::Store,
        Self::Timeout,
        Self::Version,
        Self::Wait,
        Self::Watch,
    ];

    /// The option's name after the two dashes.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Author => "author",
            Self::Change => "change",
            Self::Entry => "entry",
            Self::Force => "force",
            Self::Limit => "limit",
            Self::Model => "model",
            Self::Origin => "origin",
            Self::Out => "out",
            Self::Settings => "settings",
            Self::Store => "store",
            Self::Timeout => "timeout",
            Self::Version => "version",
            Self::Wait => "wait",
            Self::Watch => "watch",
        }
    }

    /// The option with its value and its meaning, for help.
    pub(crate) fn help(self) -> &'static str {
        match self {
            Self::Author => "--author NAME    who makes the change (AZURESTAND_AUTHOR, else USER)",
            Self::Change => {
                "--change ID      names the change; repeat it to repeat a command safely"
            }
            Self::Entry => {
                "--entry URL      an entry to ask, such as http://10.0.0.1:8080; repeatable (AZURESTAND_ENTRY)"
            }
            Self::Force => "--force          does it despite the warning",
            Self::Limit => "--limit N        the most changes to look at",
            Self::Model => "--model NAME     the model",
            Self::Origin => "--origin URL     the origin of weights, such as http://10.0.0.8:9000",
            Self::Out => "--out FILE       the file to write",
            Self::Settings => "--settings FILE  the settings of a daemon",
            Self::Store => {
                "--store URL      the store, such as http://10.0.0.9:2379; repeatable (AZURESTAND_STORE)"
            }
            Self::Timeout => {
                "--timeout SECS   how long to try the store (60), and how long --wait waits (10)"
            }
            Self::Version => "--version NAME   the version",
            Self::Watch => "--watch          prints again each second until interrupted",
            Self::Wait => "--wait           waits until every node has the change; needs --entry",
        }
    }
}

/// One verb.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Verb {
    /// The words, such as `config apply`.
    pub(crate) name: &'static str,
    /// The operands after them.
    pub(crate) operands: &'static str,
    /// The options that it takes beside `--format`.
    pub(crate) flags: &'static [Flag],
    /// What it does, as whole sentences.
    pub(crate) about: &'static str,
}

const EDITING: &[Flag] = &[
    Flag::Store,
    Flag::Author,
    Flag::Change,
    Flag::Wait,
    Flag::Entry,
    Flag::Timeout,
    Flag::Force,
];
const READING: &[Flag] = &[Flag::Store];
const LISTING: &[Flag] = &[Flag::Store, Flag::Limit];

/// Every verb, in the order of help.
pub(crate) const VERBS: &[Verb] = &[
    Verb {
        name: "config show",
        operands: "[SECTION]",
        flags: READING,
        about: "Prints the document in the store, or one section of it.",
    },
    Verb {
        name: "config edit",
        operands: "SECTION",
        flags: &[Flag::Store, Flag::Out, Flag::Force],
        about: "Writes a section to a file for editing. Its first line says on which revision the edit builds; keep it.",
    },
    Verb {
        name: "config check",
        operands: "FILE",
        flags: READING,
        about: "Checks a file: one written by `config edit` against the document in the store, any other as a whole document. Changes nothing.",
    },
    Verb {
        name: "config diff",
        operands: "SECTION FILE",
        flags: READING,
        about: "Prints the difference from the section in the store to the file.",
    },
    Verb {
        name: "config apply",
        operands: "SECTION FILE",
        flags: EDITING,
        about: "Replaces a section by the file's text. A lost answer is looked up, and nothing is applied twice.",
    },
    Verb {
        name: "config history",
        operands: "",
        flags: LISTING,
        about: "Prints the latest changes, the newest first.",
    },
    Verb {
        name: "config revert",
        operands: "CHANGE",
        flags: EDITING,
        about: "Takes one change back, as a new revision. Later changes stay.",
    },
    Verb {
        name: "config status",
        operands: "CHANGE",
        flags: LISTING,
        about: "Tells whether a change is in the store. Use it after a lost answer.",
    },
    Verb {
        name: "config init",
        operands: "FILE",
        flags: &[Flag::Store, Flag::Author, Flag::Change],
        about: "Writes the first document. Refuses if there is one.",
    },
    Verb {
        name: "config recover",
        operands: "",
        flags: &[Flag::Store, Flag::Author, Flag::Change, Flag::Entry],
        about: "After the store was restored to an older state, writes back the document that an entry holds, under the next revision.",
    },
    Verb {
        name: "audit",
        operands: "",
        flags: LISTING,
        about: "Prints who changed what and when, with digests before and after, the newest first.",
    },
    Verb {
        name: "dc out",
        operands: "NAME",
        flags: EDITING,
        about: "Takes a data centre out of service.",
    },
    Verb {
        name: "dc in",
        operands: "NAME",
        flags: EDITING,
        about: "Brings a data centre back into service.",
    },
    Verb {
        name: "entry",
        operands: "--settings FILE",
        flags: &[Flag::Settings],
        about: "Runs an entry until it gets SIGTERM; then every open answer is finished first.",
    },
    Verb {
        name: "agent",
        operands: "--settings FILE",
        flags: &[Flag::Settings],
        about: "Runs the agent of a target host until it gets SIGTERM; then every open answer is finished first.",
    },
    Verb {
        name: "platform entry",
        operands: "[--settings FILE]",
        flags: &[Flag::Settings],
        about: "Runs an entry on the users' platform until it gets SIGTERM; then every open answer is finished first. Without --settings the platform's own variable names the file.",
    },
    Verb {
        name: "platform agent",
        operands: "[--settings FILE]",
        flags: &[Flag::Settings],
        about: "Runs the agent beside a model engine on the users' platform until it gets SIGTERM.",
    },
    Verb {
        name: "platform check",
        operands: "[--settings FILE]",
        flags: &[Flag::Settings],
        about: "Checks the settings file of a daemon on the users' platform and starts nothing.",
    },
    Verb {
        name: "explain",
        operands: "REQUEST-ID [FILE...]",
        flags: &[],
        about: "Tells what became of one request, from the logs of entries on the users' platform; reads standard input without files.",
    },
    Verb {
        name: "publish",
        operands: "FILE",
        flags: &[Flag::Model, Flag::Version, Flag::Origin],
        about: "Cuts a file of weights into chunks, puts them at the origin and prints the digest that the section models names.",
    },
    Verb {
        name: "status",
        operands: "",
        flags: &[Flag::Entry, Flag::Watch],
        about: "Prints hosts, revisions, targets' states and the progress of versions as an entry sees them.",
    },
    Verb {
        name: "check",
        operands: "--settings FILE",
        flags: &[Flag::Settings],
        about: "Checks the settings of a daemon and starts nothing.",
    },
    Verb {
        name: "version",
        operands: "",
        flags: &[],
        about: "Prints the version.",
    },
    Verb {
        name: "help",
        operands: "[VERB]",
        flags: &[],
        about: "Prints the verbs, or one verb's options.",
    },
];

/// The verb that begins the operands, and how many words it has.
pub(crate) fn find(words: &[String]) -> Option<(&'static Verb, usize)> {
    VERBS.iter().find_map(|verb| {
        let count = verb.name.split(' ').count();
        let named = verb.name.split(' ').eq(words.iter().take(count));
        named.then_some((verb, count))
    })
}
