/* SPDX-License-Identifier: BSD-3-Clause */
/* The ledger of a pool: which grants hold memory of which engines, and which reported attempts no grant
 * accounts for. */
#ifndef BAYHOIST_PRIVATE_LEDGER_H
#define BAYHOIST_PRIVATE_LEDGER_H

#include "engines.h"

/* A grant in force. */
typedef struct {
	BH__Grant grant;
	uint64_t granted_us; /* when it was added to this ledger */
	unsigned prefilling; /* index of the prefilling member; member_count: none, or not tracked */
} BH__LedgerEntry;

typedef struct BH__Ledger BH__Ledger;

/* Called for an attempt that an engine has reported for a while and that no grant accounts for. */
typedef void (*BH__LedgerOrphan)(void *ctx, uint64_t endpoint_id, const BH__ReportedAttempt *attempt);

BH__Ledger *bh__ledger_new(BH__Engines *engines, BH__LedgerOrphan orphan, void *ctx);
void bh__ledger_delete(BH__Ledger *l);
void bh__ledger_add(BH__Ledger *l, const BH__Grant *g, bool starts_prefill, uint64_t now_us);
BH__LedgerEntry *bh__ledger_find(const BH__Ledger *l, uint64_t grant_id);
void bh__ledger_end(BH__Ledger *l, BH__LedgerEntry *entry, uint64_t now_us);
void bh__ledger_process_progress(BH__Ledger *l, BH__LedgerEntry *entry, uint64_t now_us);
void bh__ledger_process_hold(BH__Ledger *l, uint64_t node_id, uint64_t boot_id, bool is_full,
							 const BH__Grant *grant, uint32_t count, uint64_t now_us);
void bh__ledger_process_node_gone(BH__Ledger *l, uint64_t node_id, uint64_t now_us);
void bh__ledger_process_report(BH__Ledger *l, BH__Engine *e, const BH__LoadReport *r, uint64_t now_us);
void bh__ledger_process_tick(BH__Ledger *l, uint64_t now_us);

#endif
