//! Inputs of one evaluation of a group, and the actions that the evaluations of all groups request.

use super::calls::FailoverAction;
use super::settings::FailoverSettings;
use crate::identity::GroupName;
use crate::state::ControlState;
use crate::state::command::FailoverStep;
use crate::time::Timestamp;
use crate::view::GroupView;

/// Calls and steps that the evaluations of all groups request.
#[derive(Debug, Default)]
pub(super) struct RequestedActions {
    pub calls: Vec<FailoverAction>,
    pub steps: Vec<(GroupName, FailoverStep)>,
}

/// Inputs of one evaluation of a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvaluationContext<'a> {
    pub now: Timestamp,
    pub settings: &'a FailoverSettings,
    pub state: &'a ControlState,
    pub name: &'a GroupName,
    pub view: &'a GroupView,
}
