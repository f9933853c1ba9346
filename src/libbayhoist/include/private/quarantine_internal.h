/* SPDX-License-Identifier: BSD-3-Clause */
/* The quarantine table as the weighing of crashes (crash_evidence.c) changes it. */
#ifndef BAYHOIST_PRIVATE_QUARANTINE_INTERNAL_H
#define BAYHOIST_PRIVATE_QUARANTINE_INTERNAL_H

#include "bayhoist/quarantine.h"

BH__QuarantineEntry *bh__quarantine_find_entry(const BH__Quarantine *q, const BH__Fingerprint *f);
BH__QuarantineEntry *bh__quarantine_find_or_add(BH__Quarantine *q, const BH__Fingerprint *f,
												BH__SubjectKind kind, uint64_t now_us);
void bh__quarantine_apply_event(BH__Quarantine *q, BH__QuarantineEntry *e, BH__QuarantineEvent event,
								uint64_t now_us);
void bh__quarantine_expire(BH__Quarantine *q, BH__QuarantineEntry *e, uint64_t now_us);
void bh__quarantine_leave_tie(BH__Quarantine *q, uint64_t tie_id, GArray *changed);

#endif
