//! Small texts that grow: nesting and aliases.

use hemlockfield::rule::Rules;
use hemlockfield::settings::Settings;
use rstest::rstest;

/// Lists of `width` aliases of the list before, `levels` deep.
fn aliases(levels: usize, width: usize) -> String {
    let mut text = String::from("a0: &a0 [x]\n");
    for level in 1..levels {
        let list = vec![format!("*a{}", level - 1); width].join(", ");
        text += &format!("a{level}: &a{level} [{list}]\n");
    }
    text
}

#[rstest]
#[case::aliases(aliases(9, 10))]
#[case::lists("[".repeat(100_000))]
#[case::closed_lists("[".repeat(3_000) + &"]".repeat(3_000))]
#[case::mappings("{a: ".repeat(100_000))]
#[case::indents((0..2_000).map(|depth| " ".repeat(depth) + "a:\n").collect())]
fn parse_bomb(#[case] text: String) {
    // A document of some kilobytes must not fill the memory or the stack of the control
    // that checks it, where every operator's next change would meet the same.
    assert!(Settings::parse("settings.yaml", &text).is_err());
    assert!(Rules::parse(&text).is_err());
}

#[rstest]
#[case::below(4, 10, true)]
#[case::above(6, 10, false)]
fn parse_aliases(#[case] levels: usize, #[case] width: usize, #[case] sound: bool) {
    // Rules may repeat a list by an alias; but a text that aliases grow to a million
    // values took 230 MB, more than the whole of a control VM's share. It is refused
    // while it grows, and says so.
    let error = Settings::parse("settings.yaml", &aliases(levels, width)).expect_err("mistakes");
    assert_eq!(error.to_string().contains("not valid YAML"), !sound, "{error}");
}

#[test]
fn parse_many_mistakes() {
    // A file of nothing but mistakes is refused with as many as a person can read, and
    // the number of the others; told one by one they took a gigabyte.
    let text = format!("rules: [{}]", "x, ".repeat(5_000));
    let error = Rules::parse(&text).expect_err("mistakes").to_string();
    assert_eq!(error.lines().count(), 1_001);
    assert!(error.ends_with("more mistakes are not told"), "{error}");
}

#[test]
fn parse_many_values() {
    // Twice the values of the largest configuration foreseen are refused while they are
    // read, before they fill the memory of the control.
    let text = format!("rules: [{}]", "x,".repeat(2_100_000));
    let error = Rules::parse(&text).expect_err("mistakes").to_string();
    assert!(error.contains("not valid YAML"), "{}", error.len());
}
