use std::time::Duration;

use compact_str::CompactString;

use crate::id::ClassId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Size;
use crate::settings::Tree;

/// Default for `attempts`: what the retry policy allows by itself.
pub const DEFAULT_ATTEMPTS: u32 = 4;
/// Default for `body`: forms and findings, not files.
const BODY: Size = Size(1024 * 1024);
/// Default for `deadline`: a surveyor who waited 10 s asks again anyhow.
const DEADLINE: Duration = Duration::from_secs(10);
/// Most that `deadline` may be: an upload over a bad line takes minutes.
const LONGEST: Duration = Duration::from_secs(3600);
/// Most that `body` may be.
const LARGEST: Size = Size(64 * 1024 * 1024 * 1024);

/// Terms of service that a rule gives a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Time in which callers want the answer, where the operator says so.
    pub aim: Option<Duration>,
    /// Most upstreams that may get the request, the first one counted.
    pub attempts: u32,
    /// Most bytes of the request's body.
    pub body: u64,
    /// Class of service.
    pub class: ClassId,
    /// Time from the request's head to the end of its answer.
    pub deadline: Duration,
    /// Whether a second copy may be sent when the first is late.
    pub hedge: bool,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Header with the caller's key, in lower case; resends with the same key
    /// run once, at whichever entry they come in.
    pub key: Option<CompactString>,
    /// Whether it holds a slot for long, such as an upload.
    pub long: bool,
    /// Whether it needs no API key where callers have keys.
    pub public: bool,
    /// Whether it may be tried again at all.
    pub retry: bool,
}

impl Terms {
    /// Reads the terms beside an action; `class` is the default class.
    pub(super) fn read(
        tree: Option<&Tree>,
        class: &ClassId,
        classes: &[ClassId],
        mistakes: &Mistakes,
    ) -> Option<Self> {
        let allowed = [
            "aim",
            "attempts",
            "body",
            "class",
            "deadline",
            "hedge",
            "idempotent",
            "key",
            "long",
            "public",
            "retry",
        ];
        let empty = Tree::empty();
        let fields = Fields::open(tree.unwrap_or(&empty), mistakes, &allowed)?;
        let least = Duration::from_millis(1);
        let terms = Self {
            aim: fields.tree("aim").map(|_| fields.ranged("aim", DEADLINE, &least, &LONGEST)),
            attempts: fields.ranged("attempts", DEFAULT_ATTEMPTS as usize, &1, &10) as u32,
            body: fields.ranged("body", BODY, &Size(0), &LARGEST).0,
            class: fields.or("class", class.clone()),
            deadline: fields.ranged("deadline", DEADLINE, &least, &LONGEST),
            hedge: fields.or("hedge", false),
            idempotent: fields.or("idempotent", false),
            key: key(&fields),
            long: fields.or("long", false),
            public: fields.or("public", false),
            retry: fields.or("retry", true),
        };
        terms.check(&fields, classes);
        Some(terms)
    }

    fn check(&self, fields: &Fields, classes: &[ClassId]) {
        let mistakes = fields.mistakes();
        if !classes.contains(&self.class) {
            let names = classes.join("`, `");
            let text = format!("`{}` is not a class; allowed are `{names}`", self.class);
            mistakes.add(fields.line_of("class"), text);
        }
        if self.hedge && !self.idempotent {
            let text = "`hedge` sends a second copy; it needs `idempotent: true`";
            mistakes.add(fields.line_of("hedge"), text);
        }
        if self.idempotent && self.key.is_some() {
            let text = "`key` keeps work from running twice; with `idempotent: true` leave it out";
            mistakes.add(fields.line_of("key"), text);
        }
    }
}

fn key(fields: &Fields) -> Option<CompactString> {
    let tree = fields.tree("key")?;
    let key = Fields::open(tree, fields.mistakes(), &["header"])?;
    Some(key.required::<CompactString>("header")?.to_lowercase())
}
