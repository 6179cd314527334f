package machine

import "slices"

const (
	// maxOpenOrders is the maximum number of orders that haven't ended.
	maxOpenOrders = 4096
	// maxDoneOrders is the maximum number of completed orders that are kept.
	maxDoneOrders = 256
)

// issueOrder records an order under the next fencing number. A retry with the ID of
// a recorded order returns that order with its number.
func (m *Machine) issueOrder(o IssueOrder) Result {
	open := 0
	for i := range m.orders {
		if m.orders[i].ID == o.ID {
			first := m.orders[i]
			return Result{Order: &first}
		}
		if !m.orders[i].Done {
			open++
		}
	}
	if open >= maxOpenOrders {
		return Result{Refusal: RefusedFull}
	}
	m.fencing++
	order := Order{Number: m.fencing, IssueOrder: o, Term: m.begin.Term, At: m.clock}
	m.orders = append(m.orders, order)
	return Result{Order: &order}
}

// completeOrder marks an order as done and drops the oldest done orders beyond
// maxDoneOrders.
func (m *Machine) completeOrder(c CompleteOrder) Result {
	i := slices.IndexFunc(m.orders, func(o Order) bool { return o.Number == c.Number })
	if i < 0 {
		return Result{Refusal: RefusedUnknown}
	}
	if !m.orders[i].Done {
		m.orders[i].Done = true
		m.orders[i].Detail = c.Detail
	}
	order := m.orders[i]
	m.trimOrders()
	return Result{Order: &order}
}

func (m *Machine) trimOrders() {
	done := 0
	for i := range m.orders {
		if m.orders[i].Done {
			done++
		}
	}
	m.orders = slices.DeleteFunc(m.orders, func(o Order) bool {
		drop := o.Done && done > maxDoneOrders
		if drop {
			done--
		}
		return drop
	})
}

// OpenOrders returns the orders that haven't ended, sorted by fencing number. They
// include those that former leaders issued.
func (m *Machine) OpenOrders() []Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []Order
	for _, o := range m.orders {
		if !o.Done {
			open = append(open, o)
		}
	}
	return open
}
