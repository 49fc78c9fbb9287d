//! What one evaluation of a group has at hand, and what the evaluations of all groups want done.

use super::calls::FailoverAction;
use super::settings::FailoverSettings;
use crate::identity::GroupName;
use crate::state::ControlState;
use crate::state::command::FailoverStep;
use crate::time::Timestamp;
use crate::view::GroupView;

/// What the groups want done at one time.
#[derive(Debug, Default)]
pub(super) struct Wanted {
    pub calls: Vec<FailoverAction>,
    pub steps: Vec<(GroupName, FailoverStep)>,
}

/// What one evaluation of a group has at hand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evaluation<'a> {
    pub now: Timestamp,
    pub settings: &'a FailoverSettings,
    pub state: &'a ControlState,
    pub name: &'a GroupName,
    pub view: &'a GroupView,
}
