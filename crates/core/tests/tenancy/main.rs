//! Tenants: what may be declared of them, and whom a key stands for.

use corktack_core::tenancy::{
    ApiKey, Principal, TenantDirectory, TenantError, TenantName, TenantNameError, TenantRate,
    TenantRule, check_tenants,
};
use rstest::rstest;

const SECRET: &str = "s3cr3t";

fn name(text: &str) -> TenantName {
    TenantName::new(text).expect("a valid name")
}

fn tenant(text: &str, keys: &[&str]) -> TenantRule {
    let keys = keys.iter().map(|key| ApiKey::new(key)).collect();
    TenantRule { name: name(text), keys, rate: None }
}

fn limited(per_second: f64, burst: f64) -> TenantRule {
    TenantRule { rate: Some(TenantRate { per_second, burst }), ..tenant("alfa", &["a"]) }
}

#[rstest]
#[case::same_name(
    vec![tenant("alfa", &["a"]), tenant("alfa", &["b"])],
    TenantError::DuplicateTenant { tenant: "alfa".to_owned() }
)]
#[case::shared_key(
    vec![tenant("alfa", &["a", SECRET]), tenant("beta", &[SECRET])],
    TenantError::SharedKey { tenant: "beta".to_owned(), other: "alfa".to_owned() }
)]
#[case::same_key_twice(
    vec![tenant("alfa", &[SECRET, SECRET])],
    TenantError::DuplicateKey { tenant: "alfa".to_owned() }
)]
#[case::empty_key(
    vec![tenant("alfa", &["a", ""])],
    TenantError::EmptyKey { tenant: "alfa".to_owned() }
)]
#[case::negative_rate(
    vec![limited(-1.0, 5.0)],
    TenantError::Rate { tenant: "alfa".to_owned() }
)]
#[case::endless_rate(
    vec![limited(f64::INFINITY, 5.0)],
    TenantError::Rate { tenant: "alfa".to_owned() }
)]
#[case::burst_that_is_no_number(
    vec![limited(1.0, f64::NAN)],
    TenantError::Burst { tenant: "alfa".to_owned() }
)]
fn what_cannot_be_in_force_is_refused(
    #[case] tenants: Vec<TenantRule>,
    #[case] expected: TenantError,
) {
    let error = check_tenants(&tenants).expect_err("it cannot be in force");
    assert_eq!(error, expected);
    assert!(!error.to_string().contains(SECRET), "a key is told: {error}");
}

#[test]
fn tenants_without_keys_or_with_nothing_to_ask_for_may_be_declared() {
    let tenants = [tenant("alfa", &[]), limited(0.0, 0.0)];
    assert_eq!(check_tenants(&tenants[..1]), Ok(()));
    assert_eq!(check_tenants(&tenants[1..]), Ok(()));
}

#[rstest]
#[case("", TenantNameError::Empty)]
#[case("al fa", TenantNameError::Character(' '))]
#[case("al\nfa", TenantNameError::Character('\n'))]
fn what_would_end_the_field_of_a_name_is_no_part_of_it(
    #[case] text: &str,
    #[case] expected: TenantNameError,
) {
    assert_eq!(TenantName::new(text), Err(expected));
}

#[test]
fn a_name_may_hold_any_other_character() {
    for text in ["alfa", "ä/ö:ü", "%s|\"'", "-"] {
        assert_eq!(name(text).as_str(), text);
    }
    assert_eq!(TenantName::new(&"a".repeat(256)), Err(TenantNameError::TooLong(256)));
}

#[test]
fn a_key_is_hidden_wherever_it_is_printed() {
    let rule = tenant("alfa", &[SECRET]);
    for printed in [format!("{rule:?}"), format!("{:#?}", ApiKey::new(SECRET))] {
        assert!(!printed.contains(SECRET), "{printed}");
    }
}

#[test]
fn whose_behalf_is_told_by_name() {
    assert_eq!(Principal::Tenant(name("alfa")).to_string(), "alfa");
    assert_eq!(Principal::Unnamed.to_string(), "-");
}

fn holder(directory: &TenantDirectory, key: &str) -> Option<String> {
    directory.holder(&ApiKey::new(key)).map(ToString::to_string)
}

#[test]
fn keys_are_given_passed_on_and_taken_away() {
    let mut directory = TenantDirectory::default();
    directory.follow(&[tenant("alfa", &["a", "b"]), tenant("beta", &["c"])]);
    assert_eq!(holder(&directory, "b"), Some("alfa".to_owned()));
    // Whatever the order in which the tenants of the change stand.
    directory.follow(&[tenant("beta", &["c", "b"]), tenant("alfa", &["a"])]);
    assert_eq!(holder(&directory, "b"), Some("beta".to_owned()));
    directory.follow(&[tenant("alfa", &["a", "b"]), tenant("beta", &[])]);
    assert_eq!(holder(&directory, "b"), Some("alfa".to_owned()));
    assert_eq!(holder(&directory, "c"), None);
    directory.follow(&[tenant("beta", &["d"])]);
    assert_eq!(holder(&directory, "a"), None);
    assert_eq!(directory.len(), 1);
}

#[test]
fn a_change_of_one_tenant_among_ten_thousand_costs_what_changed() {
    let mut tenants: Vec<_> = (0..10_000)
        .map(|number| {
            tenant(&format!("t{number}"), &[&format!("k{number}"), &format!("l{number}")])
        })
        .collect();
    let mut directory = TenantDirectory::default();
    directory.follow(&tenants);
    let before = directory.entries_written();
    tenants[4_711].keys.pop();
    directory.follow(&tenants);
    assert_eq!(directory.entries_written() - before, 5, "three entries taken away, two written");
    assert_eq!(holder(&directory, "l4711"), None);
    assert_eq!(holder(&directory, "l4710"), Some("t4710".to_owned()));
}
