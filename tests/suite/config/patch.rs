//! Patches between versions.

use hemlockfield::config::Error;
use hemlockfield::config::Patch;
use hemlockfield::config::Step;
use hemlockfield::config::Version;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::prop_assert_eq;
use rstest::rstest;

fn version(number: u64, document: &str) -> Version {
    Version::new(number, "s".into(), document)
}

proptest! {
    #[test]
    fn between_any_documents(
        base in prop::collection::vec("[a-c]{0,2}\n?", 0..30),
        next in prop::collection::vec("[a-c]{0,2}\n?", 0..30),
    ) {
        let base = version(1, &base.concat());
        let next = version(2, &next.concat());
        prop_assert_eq!(Patch::between(&base, &next).apply(&base), Ok(next));
    }
}

#[test]
fn size_one_line() {
    let lines = (0..10_000).map(|line| format!("route {line}: team-{line}\n")).collect::<Vec<_>>();
    let base = version(1, &lines.concat());
    let mut changed = lines;
    changed[5000] = "route 5000: team-other\n".into();
    let patch = Patch::between(&base, &version(2, &changed.concat()));
    let encoded = postcard::to_stdvec(&patch).unwrap();
    assert!(encoded.len() < 100, "{} bytes", encoded.len());
    assert!(patch.size() >= encoded.len());
}

// A changed weight in JSON of one line must not be sent as the whole document.
#[test]
fn size_one_route_of_one_line() {
    let document = |weight: u32| {
        let route = |at: u32| {
            let weight = if at == 2_000 { weight } else { 10 };
            format!(r#"{{"name":"r-{at}","pathPrefix":"/{at}/","split":[{{"weight":{weight}}}]}}"#)
        };
        let routes = (0..4_200).map(route).collect::<Vec<_>>();
        format!(r#"{{"paths":[{}]}}"#, routes.join(","))
    };
    let base = version(1, &document(10));
    let patch = Patch::between(&base, &version(2, &document(90)));
    let encoded = postcard::to_stdvec(&patch).unwrap();
    assert!(encoded.len() < 1_500, "{} bytes", encoded.len());
}

#[rstest]
#[case::outside_base(Step::Copy { offset: 3, length: 9 }, Error::Step { number: 2 })]
#[case::offset_overflow(Step::Copy { offset: u64::MAX, length: 9 }, Error::Step { number: 2 })]
#[case::inside_character(Step::Copy { offset: 1, length: 1 }, Error::Step { number: 2 })]
#[case::wrong_text(Step::Insert("x".into()), Error::Hash { number: 2 })]
fn apply_damaged_patch(#[case] step: Step, #[case] error: Error) {
    let base = version(1, "é\n");
    let mut patch = Patch::between(&base, &version(2, "b\n"));
    patch.steps = vec![step];
    assert_eq!(patch.apply(&base), Err(error));
}

#[test]
fn apply_other_base() {
    let patch = Patch::between(&version(1, "a"), &version(2, "b"));
    assert_eq!(patch.apply(&version(1, "c")), Err(Error::Base { number: 2 }));
}
