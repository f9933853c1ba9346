/* SPDX-License-Identifier: BSD-3-Clause */
/* Use of the last endpoints of a service. While a service has no other endpoint, one that leaves, whose entry
 * is gone, or whose hall drains still gets requests, for as long as the configured bounds allow. An endpoint
 * that leaves serves on for that time, so callers need not be refused. A bound counts from the latest
 * platform read that did not show the change, because the change may have been written right after it. */
#ifndef BAYHOIST_LAST_ENDPOINTS_H
#define BAYHOIST_LAST_ENDPOINTS_H

#include "bayhoist/registry.h"

void bh__last_endpoints_set_bounds(BH__Registry *r, uint64_t endpoint_drain_us, uint64_t hall_drain_us);
void bh__last_endpoints_note_entries_read(BH__Registry *r, uint64_t as_of_us);
void bh__last_endpoints_note_halls_read(BH__Registry *r, uint64_t as_of_us);
uint64_t bh__last_endpoints_get_until_us(const BH__Registry *r, const BH__RegisteredEndpoint *e);
bool bh__last_endpoints_is_used(const BH__Registry *r, const BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__registry_may_send(const BH__Registry *r, const BH__RegisteredEndpoint *e, uint64_t now_us);

#endif
