//! The state that follows from a step.

use honeyknot_lease::{Command, ExpiryTracker, FencingToken, LeaseHolder, Permit, RequestTime};

use crate::lease_model::{ACTION_DURATION, LeaseModel};
use crate::state::{Expiry, Reply, Request, SentReply, SentRequest, State, Step, TASK};

impl LeaseModel {
    /// Returns the state after a step, or `None` if the step changes nothing.
    pub fn transition(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => state.tick += 1,
            Step::SendRequest { holder } => self.send_request(&mut state, holder),
            Step::DeliverRequest { request, is_duplicate } => {
                self.deliver_request(&mut state, request, is_duplicate);
            }
            Step::DeliverReply(reply) => self.deliver_reply(&mut state, reply)?,
            Step::ProposeExpiry(expiry) => {
                state.proposed_expiries.insert(expiry);
            }
            Step::CommitExpiry(expiry) => self.commit_expiry(&mut state, expiry),
            Step::ChangeLeader => self.change_leader(&mut state),
            Step::BeginAction { holder } => self.begin_action(&mut state, holder)?,
            Step::PerformEffect { holder } => self.perform_effect(&mut state, holder)?,
            Step::EndAction { holder } => state.holders[usize::from(holder)].end_action(),
            Step::Release { holder } => self.release(&mut state, holder)?,
        }
        Some(state)
    }

    fn send_request(&self, state: &mut State, number: u8) {
        let sent_at = self.slow_clock(state);
        let holder = &mut state.holders[usize::from(number)];
        holder.requests_left -= 1;
        let request = match holder.holder(self.parameters).held_token(sent_at) {
            Some(token) => Request::Renew { token: token.0 },
            None => Request::Acquire { nonce: holder.nonce },
        };
        state.requests_in_transit.insert(SentRequest { holder: number, sent_at, request });
    }

    fn deliver_request(&self, state: &mut State, request: SentRequest, is_duplicate: bool) {
        if is_duplicate {
            state.duplicates_left -= 1;
        } else {
            state.requests_in_transit.remove(&request);
        }
        let command = request.command();
        let outcome = state.lease_table.apply(&self.parameters, &command);
        let now = self.fast_clock(state);
        // The injected fault that measures leases from the request uses the time when the holder sent it.
        let requested_at = self.slow_to_fast(request.sent_at);
        state.expiry_tracker.commands_applied(requested_at, now, &state.lease_table, &[command]);
        let reply = Reply::from(outcome);
        if let (Request::Acquire { .. }, Reply::Held { token }) = (request.request, reply)
            && !state.granted.contains(&token)
        {
            state.has_token_regression |= state.granted.last().is_some_and(|newest| *newest >= token);
            state.granted.push(token);
        }
        let is_reply_needed = !matches!(request.request, Request::Release { .. }) && reply != Reply::Other;
        if is_reply_needed {
            state.replies_in_transit.insert(SentReply { to: request, reply });
        }
    }

    fn deliver_reply(&self, state: &mut State, reply: SentReply) -> Option<()> {
        state.replies_in_transit.remove(&reply);
        let now = self.slow_clock(state);
        let holder = &mut state.holders[usize::from(reply.to.holder)];
        let known_before = holder.known;
        holder.update(self.parameters, |holder| match (reply.to.request, reply.reply) {
            (_, Reply::Held { token }) => {
                holder.granted(RequestTime::at(reply.to.sent_at), now, FencingToken(token));
            }
            (Request::Renew { token }, _) => holder.lease_ended(FencingToken(token)),
            _ => {}
        });
        (holder.known != known_before).then_some(())
    }

    fn commit_expiry(&self, state: &mut State, expiry: Expiry) {
        state.proposed_expiries.remove(&expiry);
        let Expiry { token, renewals } = expiry;
        let command = Command::Expire { task: TASK.to_owned(), token: FencingToken(token), renewals };
        state.lease_table.apply(&self.parameters, &command);
        let now = self.fast_clock(state);
        state.expiry_tracker.commands_applied(now, now, &state.lease_table, &[command]);
    }

    fn change_leader(&self, state: &mut State) {
        state.leader_changes_left -= 1;
        state.lease_table.leadership_acquired(&self.parameters);
        let now = self.fast_clock(state);
        state.expiry_tracker = ExpiryTracker::new(self.parameters, now, &state.lease_table);
    }

    fn begin_action(&self, state: &mut State, number: u8) -> Option<()> {
        let now = self.slow_clock(state);
        let holder = &mut state.holders[usize::from(number)];
        let permit = holder.holder(self.parameters).permit(now, ACTION_DURATION).ok()?;
        holder.begin_action(&permit);
        Some(())
    }

    fn perform_effect(&self, state: &mut State, number: u8) -> Option<()> {
        let now = self.slow_clock(state);
        let holder = &mut state.holders[usize::from(number)];
        let action = holder.action?;
        let permit = Permit::from_parts(self.parameters, action.token, action.valid_until);
        let Some(token) = permit.valid_token(now) else {
            holder.end_action();
            return Some(());
        };
        if token.0 == state.highest_token {
            return None;
        }
        state.has_overlap |= token.0 < state.highest_token;
        state.holder_changes += u8::from(state.highest_token > 0);
        state.highest_token = state.highest_token.max(token.0);
        Some(())
    }

    fn release(&self, state: &mut State, number: u8) -> Option<()> {
        let sent_at = self.slow_clock(state);
        let holder = &mut state.holders[usize::from(number)];
        let token = holder.update(self.parameters, LeaseHolder::release).ok()?;
        holder.nonce += 1;
        let request = Request::Release { token: token.0 };
        state.requests_in_transit.insert(SentRequest { holder: number, sent_at, request });
        Some(())
    }
}
