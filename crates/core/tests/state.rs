//! Tests of the control state: operators' changes with compare-and-swap, resends and checks,
//! and failover steps.

mod support;

use corktack_core::position::Term;
use corktack_core::resources::{
    BindingSpec, CallerMatch, Kind, ResourceKey, ResourceSpec, ResourceVersion,
};
use corktack_core::state::command::{Command, FailoverStep, Outcome, Refusal};
use corktack_core::state::{ControlState, RESEND_MEMORY_LIMIT};
use corktack_core::view::{Revision, View};
use rstest::rstest;
use support::*;

#[test]
fn of_two_changes_from_the_same_version_the_second_conflicts() {
    let mut cell = Cell::new();
    let version = cell.put_group("calls", None).expect("accepted");
    let mut first = group_spec("calls", 3);
    first.slots = 6;
    let mut second = first.clone();
    second.slots = 7;
    let accepted = cell.put("calls", first, Some(version)).expect("accepted");
    let refused = cell.put("calls", second.clone(), Some(version));
    assert_eq!(refused, Err(Refusal::Conflict { stored: accepted }));
    let stored = cell.state.get(&group_key("calls")).expect("stored");
    assert_eq!((stored.version, stored.generation), (accepted, 2));
    assert!(cell.put("calls", second, Some(accepted)).is_ok());
}

#[test]
fn creating_an_existing_group_and_replacing_a_missing_group_conflict() {
    let mut cell = Cell::new();
    let missing = ResourceVersion::default();
    let replaced = cell.put_group("calls", Some(ResourceVersion(7)));
    assert_eq!(replaced, Err(Refusal::Conflict { stored: missing }));
    let version = cell.put_group("calls", Some(missing)).expect("accepted");
    let repeated = cell.put_group("calls", Some(missing));
    assert_eq!(repeated, Err(Refusal::Conflict { stored: version }));
}

#[test]
fn a_resend_gets_the_first_answer_even_after_a_snapshot() {
    let mut cell = Cell::new();
    let accepted = cell.put_command("first", "calls", 3, Some(ResourceVersion::default()));
    let refused = cell.put_command("second", "calls", 5, Some(ResourceVersion::default()));
    let answers = [cell.apply(accepted.clone()).outcome, cell.apply(refused.clone()).outcome];
    assert!(matches!(answers[1], Outcome::Refused(Refusal::Conflict { .. })));

    cell.apply(delete_command("third", "calls", None));
    cell.state = decode(&encode(&cell.state));

    for (command, first) in [accepted, refused].into_iter().zip(answers) {
        let resent = cell.apply(command);
        assert_eq!(resent.outcome, first);
        assert!(resent.changes.is_empty());
    }
    assert!(cell.state.get(&group_key("calls")).is_none());
}

#[test]
fn a_change_id_used_for_another_operation_is_refused() {
    let mut cell = Cell::new();
    let command = cell.put_command("one", "calls", 3, None);
    let first = cell.apply(command.clone());
    let other = cell.put_command("one", "calls", 5, None);
    let outcome = cell.apply(other).outcome;
    assert_eq!(invalid_field(outcome), "changeId");
    assert_eq!(cell.apply(command).outcome, first.outcome);
}

#[rstest]
#[case("")]
#[case(&"x".repeat(129))]
fn an_empty_or_too_long_change_id_is_refused_and_not_remembered(#[case] id: &str) {
    let mut cell = Cell::new();
    let command = cell.put_command(id, "calls", 3, None);
    assert_eq!(invalid_field(cell.apply(command).outcome), "changeId");
    assert_eq!(encode(&cell.state).len(), encode(&ControlState::default()).len());
}

#[test]
fn the_memory_of_resends_is_bounded_and_drops_the_oldest_first() {
    let mut cell = Cell::new();
    let put_command =
        |cell: &Cell, number: usize| cell.put_command(&number.to_string(), "calls", 3, None);
    let first = put_command(&cell, 0);
    let first_outcome = cell.apply(first.clone()).outcome;
    for number in 1..RESEND_MEMORY_LIMIT {
        let command = delete_command(&number.to_string(), "missing", None);
        cell.apply(command);
    }
    assert_eq!(cell.apply(first.clone()).outcome, first_outcome);
    let size = encode(&cell.state).len();
    cell.apply(delete_command("one more", "missing", None));
    assert!(encode(&cell.state).len() < size + 100);
    let reused_id = delete_command("0", "calls", None);
    assert!(matches!(cell.apply(reused_id).outcome, Outcome::Accepted { .. }));
}

#[test]
fn an_entry_applied_twice_changes_nothing() {
    let mut cell = Cell::new();
    let command = cell.put_command("one", "calls", 3, None);
    let first = cell.apply(command.clone());
    let before = cell.state.clone();
    let repeated = cell.state.apply(Revision(1), command);
    assert_eq!(repeated.outcome, first.outcome);
    assert!(repeated.changes.is_empty());
    assert_eq!(cell.state, before);
}

#[test]
fn a_put_of_the_stored_spec_keeps_version_and_view() {
    let mut cell = Cell::new();
    let version = cell.put_group("calls", None).expect("accepted");
    let revision = cell.state.view_revision();
    assert_eq!(cell.put_group("calls", Some(version)), Ok(version));
    assert_eq!(cell.state.view_revision(), revision);
    assert!(cell.state.applied() > revision);
}

#[rstest]
#[case("spec.members", &|spec: &mut Group| spec.members.clear())]
#[case("spec.members[1].name", &|spec: &mut Group| spec.members[1].name = spec.members[0].name.clone())]
#[case("spec.members[2].address", &|spec: &mut Group| spec.members[2].address = spec.members[0].address)]
#[case("spec.members[0].address", &|spec: &mut Group| spec.members[0].address.set_port(0))]
#[case("spec.slots", &|spec: &mut Group| spec.slots = 0)]
#[case("spec.connections", &|spec: &mut Group| spec.connections = spec.slots - 1)]
#[case("spec.database", &|spec: &mut Group| spec.database.clear())]
#[case("spec.database", &|spec: &mut Group| spec.database = "other".to_owned())]
fn a_refusal_of_an_invalid_group_names_the_field(
    #[case] field: &str,
    #[case] invalidate: &dyn Fn(&mut Group),
) {
    let mut cell = Cell::new();
    cell.put_group("other", None).expect("accepted");
    let mut spec = group_spec("calls", 3);
    invalidate(&mut spec);
    let refusal = cell.put("calls", spec, None).expect_err("refused");
    assert_eq!(invalid_field(Outcome::Refused(refusal)), field);
    assert!(cell.state.get(&group_key("calls")).is_none());
}

#[rstest]
#[case("10.0.0.0/8", true)]
#[case("::1/128", true)]
#[case("10.0.0.0", false)]
#[case("10.0.0.0/33", false)]
#[case("10.0.0/8", false)]
fn source_networks_are_checked(#[case] network: &str, #[case] valid: bool) {
    let mut cell = Cell::new();
    cell.put_class("gold", 10, 50).expect("accepted");
    let callers = CallerMatch { source_network: Some(network.to_owned()), ..Default::default() };
    let outcome = cell.put_binding("desk", "gold", callers);
    match outcome {
        Ok(_) => assert!(valid),
        Err(refusal) => {
            assert!(!valid);
            assert_eq!(invalid_field(Outcome::Refused(refusal)), "spec.match.sourceNetwork");
        }
    }
}

#[test]
fn bindings_need_their_class_and_shares_of_classes_are_limited() {
    let mut cell = Cell::new();
    let unknown_class =
        cell.put_binding("desk", "gold", CallerMatch::default()).expect_err("refused");
    assert_eq!(invalid_field(Outcome::Refused(unknown_class)), "spec.class");
    cell.put_class("gold", 10, 60).expect("accepted");
    let over_limit = cell.put_class("silver", 5, 41).expect_err("refused");
    assert_eq!(invalid_field(Outcome::Refused(over_limit)), "spec.guaranteedPercent");
    cell.put_class("silver", 5, 40).expect("accepted");
    cell.put_class("gold", 11, 60).expect("the class's own share counts once");
    cell.put_binding("desk", "gold", CallerMatch::default()).expect("accepted");

    let by = ResourceKey::Binding(name("desk"));
    let gold = ResourceKey::PriorityClass(name("gold"));
    assert_eq!(cell.delete(gold.clone()), Err(Refusal::InUse { by: by.clone() }));
    assert!(cell.delete(by).is_ok());
    assert!(cell.delete(gold.clone()).is_ok());
    assert_eq!(cell.delete(gold), Err(Refusal::NotFound));
    assert_eq!(cell.state.list(Kind::PriorityClass).len(), 1);
}

#[test]
fn a_spec_of_another_kind_is_refused() {
    let mut cell = Cell::new();
    let spec = ResourceSpec::DatabaseGroup(group_spec("calls", 3));
    let refusal = cell.put_spec(ResourceKey::Binding(name("calls")), spec, None);
    assert_eq!(invalid_field(Outcome::Refused(refusal.expect_err("refused"))), "kind");
}

#[test]
fn a_view_whose_bindings_have_absent_fields_round_trips() {
    let mut cell = Cell::new();
    cell.put_class("gold", 10, 50).expect("accepted");
    let callers = CallerMatch { user: Some("ana".to_owned()), ..Default::default() };
    cell.put_binding("desk", "gold", callers.clone()).expect("accepted");
    let view: View = decode(&encode(&cell.state.view()));
    assert_eq!(view, cell.state.view());

    let spec = BindingSpec { callers, class: name("gold"), order: 0 };
    let manifest = serde_json::to_string(&spec).expect("serializable");
    assert_eq!(serde_json::from_str::<BindingSpec>(&manifest).expect("readable"), spec);
}

#[test]
fn a_primary_is_kept_while_it_is_a_member() {
    let mut cell = Cell::new();
    cell.put_group("calls", None).expect("accepted");
    let view = cell.group("calls");
    assert_eq!((view.primary, view.term), (None, Term(0)));
    cell.adopt("calls", "m0", 4).expect("adopted");
    cell.put("calls", group_spec("calls", 5), None).expect("accepted");
    assert_eq!(cell.group("calls").primary, Some(name("m0")));
    let mut spec = group_spec("calls", 3);
    spec.members.remove(0);
    cell.put("calls", spec, None).expect("accepted");
    let view = cell.group("calls");
    assert_eq!((view.primary, view.term), (None, Term(4)));
}

#[test]
fn a_stale_step_is_refused_and_the_rest_of_its_batch_is_applied() {
    let mut cell = Cell::new();
    for group in ["a", "b"] {
        cell.put_group(group, None).expect("accepted");
        cell.adopt(group, "m0", 4).expect("adopted");
    }
    cell.step("a", FailoverStep::Begin { term: Term(6) }).expect("begun");
    let begin = FailoverStep::Begin { term: Term(5) };
    let batch = vec![(name("a"), begin.clone()), (name("b"), begin.clone()), (name("c"), begin)];
    let Outcome::Batch { refused } = cell.apply(Command::Failover(batch)).outcome else {
        panic!("a batch command must have a batch outcome")
    };
    assert_eq!(refused, [(0, Refusal::StaleTerm { stored: Term(6) }), (2, Refusal::NotFound)]);
    assert_eq!(cell.group("b").term, Term(5));
    let stale_term = Err(Refusal::StaleTerm { stored: Term(6) });
    assert_eq!(cell.step("a", complete("m1", 5)), stale_term);
    assert_eq!(cell.step("a", complete("nobody", 6)), Err(Refusal::NotFound));
    assert_eq!(cell.step("a", complete("m1", 6)), Ok(()));
    assert_eq!(cell.step("a", complete("m1", 6)), Ok(()), "a repeated step is accepted");
    assert_eq!(cell.step("a", complete("m2", 6)), stale_term, "a term has only one primary");
    assert_eq!(cell.adopt("a", "m2", 6), stale_term);
    assert_eq!(cell.adopt("a", "m2", 7), Ok(()));
}

#[test]
fn members_leaving_or_declared_draining_are_draining() {
    let mut cell = Cell::new();
    let mut spec = group_spec("calls", 3);
    spec.members[0].draining = true;
    cell.put("calls", spec, None).expect("accepted");
    let leaving_command = |member: &str, is_leaving| {
        Command::MembersLeaving(vec![(name("calls"), name(member), is_leaving)])
    };
    cell.apply(leaving_command("m1", true));
    assert_eq!(Vec::from_iter(cell.group("calls").draining), [name("m0"), name("m1")]);
    cell.apply(leaving_command("m0", true));
    cell.apply(leaving_command("m0", false));
    cell.apply(leaving_command("m1", false));
    assert_eq!(Vec::from_iter(cell.group("calls").draining), [name("m0")]);
    let unknown = cell.apply(leaving_command("nobody", true)).outcome;
    assert_eq!(unknown, Outcome::Batch { refused: vec![(0, Refusal::NotFound)] });
}
