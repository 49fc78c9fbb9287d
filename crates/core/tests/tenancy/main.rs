//! Tenants: which declarations are valid, and which tenant a key identifies.

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
#[case::infinite_rate(
    vec![limited(f64::INFINITY, 5.0)],
    TenantError::Rate { tenant: "alfa".to_owned() }
)]
#[case::burst_that_is_not_a_number(
    vec![limited(1.0, f64::NAN)],
    TenantError::Burst { tenant: "alfa".to_owned() }
)]
fn invalid_declarations_are_refused(
    #[case] tenants: Vec<TenantRule>,
    #[case] expected: TenantError,
) {
    let error = check_tenants(&tenants).expect_err("the declarations are invalid");
    assert_eq!(error, expected);
    assert!(!error.to_string().contains(SECRET), "the message contains a key: {error}");
}

#[test]
fn tenants_without_keys_or_with_a_rate_of_zero_may_be_declared() {
    let tenants = [tenant("alfa", &[]), limited(0.0, 0.0)];
    assert_eq!(check_tenants(&tenants[..1]), Ok(()));
    assert_eq!(check_tenants(&tenants[1..]), Ok(()));
}

#[rstest]
#[case("", TenantNameError::Empty)]
#[case("al fa", TenantNameError::Character(' '))]
#[case("al\nfa", TenantNameError::Character('\n'))]
fn a_name_that_is_empty_or_would_end_its_field_is_refused(
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
fn a_key_is_never_printed() {
    let rule = tenant("alfa", &[SECRET]);
    for printed in [format!("{rule:?}"), format!("{:#?}", ApiKey::new(SECRET))] {
        assert!(!printed.contains(SECRET), "{printed}");
    }
}

#[test]
fn a_principal_is_printed_by_its_name() {
    assert_eq!(Principal::Tenant(name("alfa")).to_string(), "alfa");
    assert_eq!(Principal::Anonymous.to_string(), "-");
}

fn holder(directory: &TenantDirectory, key: &str) -> Option<String> {
    directory.tenant_of_key(&ApiKey::new(key)).map(ToString::to_string)
}

#[test]
fn keys_are_added_moved_and_removed() {
    let mut directory = TenantDirectory::default();
    directory.update(&[tenant("alfa", &["a", "b"]), tenant("beta", &["c"])]);
    assert_eq!(holder(&directory, "b"), Some("alfa".to_owned()));
    // The order in which the changed tenants are listed makes no difference.
    directory.update(&[tenant("beta", &["c", "b"]), tenant("alfa", &["a"])]);
    assert_eq!(holder(&directory, "b"), Some("beta".to_owned()));
    directory.update(&[tenant("alfa", &["a", "b"]), tenant("beta", &[])]);
    assert_eq!(holder(&directory, "b"), Some("alfa".to_owned()));
    assert_eq!(holder(&directory, "c"), None);
    directory.update(&[tenant("beta", &["d"])]);
    assert_eq!(holder(&directory, "a"), None);
    assert_eq!(directory.len(), 1);
}

#[test]
fn a_change_of_one_tenant_among_ten_thousand_rewrites_only_its_entries() {
    let mut tenants: Vec<_> = (0..10_000)
        .map(|number| {
            tenant(&format!("t{number}"), &[&format!("k{number}"), &format!("l{number}")])
        })
        .collect();
    let mut directory = TenantDirectory::default();
    directory.update(&tenants);
    let before = directory.entries_written();
    tenants[4_711].keys.pop();
    directory.update(&tenants);
    assert_eq!(directory.entries_written() - before, 5, "three entries removed, two written");
    assert_eq!(holder(&directory, "l4711"), None);
    assert_eq!(holder(&directory, "l4710"), Some("t4710".to_owned()));
}
