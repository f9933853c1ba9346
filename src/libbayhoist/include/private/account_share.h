/* SPDX-License-Identifier: BSD-3-Clause */
/* How much of the engines' time the client accounts have used lately, and which of them use far more than the
 * others. While asks wait, such an account goes behind the others, and what waits for it is bounded. */
#ifndef BAYHOIST_PRIVATE_ACCOUNT_SHARE_H
#define BAYHOIST_PRIVATE_ACCOUNT_SHARE_H

#include "bayhoist/types.h"

typedef struct BH__AccountShares BH__AccountShares;

BH__AccountShares *bh__account_shares_new(void);
void bh__account_shares_delete(BH__AccountShares *s);
void bh__account_shares_note_work(BH__AccountShares *s, uint64_t account_id, uint64_t weight, double work_ms,
								  uint64_t now_us);
bool bh__account_shares_is_over(BH__AccountShares *s, uint64_t account_id, uint64_t now_us);
double bh__account_shares_get_fair_share(BH__AccountShares *s, uint64_t account_id, uint64_t now_us);
unsigned bh__account_shares_get_count(const BH__AccountShares *s);

#endif
