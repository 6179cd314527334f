package fleet

// registerReservationMetrics registers the metrics of reservations for retries at the
// schedulers of this node.
func (n *Node) registerReservationMetrics(gauge func(name, help string, value func() float64)) {
	gauge("flamingohaven_fleet_retry_reservations_open", "Reservations of refused callers that are expected to retry.", func() float64 {
		return float64(n.schedulerLoad().reservations.Open)
	})
	gauge("flamingohaven_fleet_retry_reservations_total", "Reservations made for the retries of refused callers.", func() float64 {
		return float64(n.schedulerLoad().reservations.Made)
	})
	gauge("flamingohaven_fleet_retry_reservations_honoured_total", "Reservations whose callers came at their time.", func() float64 {
		return float64(n.schedulerLoad().reservations.Honoured)
	})
	gauge("flamingohaven_fleet_retry_reservations_expired_total", "Reservations whose callers did not come at their time.", func() float64 {
		return float64(n.schedulerLoad().reservations.Expired)
	})
	gauge("flamingohaven_fleet_retry_reservations_displaced_total", "Reservations given up for those of a higher tier.", func() float64 {
		return float64(n.schedulerLoad().reservations.Displaced)
	})
	gauge("flamingohaven_fleet_refusals_without_retry_total", "Refusals for load without Retry-After, since no retry would have fitted.", func() float64 {
		return float64(n.schedulerLoad().unplanned)
	})
}
