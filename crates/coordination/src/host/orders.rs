//! Orders to backend servers, given by the host that holds the lease.

use super::{Host, Owner, action::Action, exchange::Exchange};
use crate::{
    order::{self, DesiredState},
    record::{Backend, Role},
    route::RouterEvent,
    timeline::Step,
};

impl Host {
    /// Sets the models and the role that orders are to bring an engine to.
    pub(super) fn set_order_target(&mut self, record: &Backend) {
        if record.role != Role::Engine {
            return;
        }
        let Backend { name, models, fencing, serve_as, .. } = record.clone();
        let desired = DesiredState { backend: name, models, role: serve_as, fencing };
        self.order_event(order::Event::SetDesired(desired));
    }

    pub(super) fn order_event(&mut self, event: order::Event) {
        match &event {
            order::Event::Tick if !self.is_ready() => return,
            order::Event::State { backend, state: Some(state), .. } => {
                let models = state.models.clone();
                let leaving = self.admission.router().is_leaving(self.now, backend);
                self.router_event(RouterEvent::State { backend: backend.clone(), models, leaving });
            }
            _ => {}
        }
        let mut actions = Vec::new();
        self.orders.handle(self.now, event, &mut actions);
        for action in actions {
            self.order_action(action);
        }
    }

    fn order_action(&mut self, action: order::Action) {
        match action {
            order::Action::Table { number, op } => self.start_operation(Owner::Orders(number), op),
            order::Action::Weights { backend, number, model } => {
                self.pending_actions.push(Action::Weights { backend, number, model });
            }
            order::Action::ReadState { backend, number } => match self.catalog.backend(&backend) {
                Some(record) => {
                    let address = record.address.clone();
                    self.start_exchange(Exchange::ReadState { address, backend, number });
                }
                None => {
                    self.order_event(order::Event::State { backend, number, state: None });
                }
            },
            order::Action::Order { backend, fence, order } => {
                let Some(record) = self.catalog.backend(&backend) else {
                    let outcome = order::Outcome::Failed;
                    return self.order_event(order::Event::Ordered { backend, fence, outcome });
                };
                let address = record.address.clone();
                let detail = format!("fence={fence} order={order:?}");
                self.record_step(None, Step::Ordered, backend.clone(), detail);
                self.start_exchange(Exchange::Order { address, backend, fence, order });
            }
        }
    }
}
