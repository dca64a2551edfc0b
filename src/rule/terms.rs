use std::time::Duration;

use compact_str::CompactString;

use crate::id::ClassId;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Size;
use crate::settings::Yaml;

/// Default for `attempts`; equals the limit of the retry policy.
pub const DEFAULT_ATTEMPTS: u32 = 4;
/// Default for `body`, in bytes: enough for forms and findings, but not for files.
const DEFAULT_BODY: Size = Size(1024 * 1024);
/// Default for `deadline`. A user who has waited for 10 s sends the request again anyway.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Largest `deadline`; an upload over a slow connection takes minutes.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Largest `body`, in bytes.
const MAX_BODY: Size = Size(64 * 1024 * 1024 * 1024);

/// Limits and guarantees that a rule gives to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Target for the time to the answer, if the operator sets one.
    pub aim: Option<Duration>,
    /// Most upstreams that the request may be sent to, including the first.
    pub attempts: u32,
    /// Largest body of the request, in bytes.
    pub body: u64,
    /// Class of service.
    pub class: ClassId,
    /// Time from the head of the request to the end of its answer.
    pub deadline: Duration,
    /// Whether a second copy may be sent if the first is late.
    pub hedge: bool,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Header with the caller's idempotency key, in lower case. Requests with the same key run
    /// once, whichever entry receives them.
    pub key: Option<CompactString>,
    /// Whether it occupies a slot for a long time, such as an upload.
    pub long: bool,
    /// Whether it needs no API key even if teams have keys.
    pub public: bool,
    /// Whether it may be retried.
    pub retry: bool,
}

impl Terms {
    /// Reads the `terms` field of an action; `class` is the default class.
    pub(super) fn read(
        yaml: Option<&Yaml>,
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
        let empty = Yaml::empty();
        let fields = Fields::open(yaml.unwrap_or(&empty), mistakes, &allowed)?;
        let min = Duration::from_millis(1);
        let terms = Self {
            aim: fields
                .yaml("aim")
                .map(|_| fields.ranged("aim", DEFAULT_DEADLINE, &min, &MAX_DEADLINE)),
            attempts: fields.ranged("attempts", DEFAULT_ATTEMPTS as usize, &1, &10) as u32,
            body: fields.ranged("body", DEFAULT_BODY, &Size(0), &MAX_BODY).0,
            class: fields.or_default("class", class.clone()),
            deadline: fields.ranged("deadline", DEFAULT_DEADLINE, &min, &MAX_DEADLINE),
            hedge: fields.or_default("hedge", false),
            idempotent: fields.or_default("idempotent", false),
            key: read_key(&fields),
            long: fields.or_default("long", false),
            public: fields.or_default("public", false),
            retry: fields.or_default("retry", true),
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

fn read_key(fields: &Fields) -> Option<CompactString> {
    let yaml = fields.yaml("key")?;
    let key = Fields::open(yaml, fields.mistakes(), &["header"])?;
    Some(key.required::<CompactString>("header")?.to_lowercase())
}
