/* SPDX-License-Identifier: BSD-3-Clause */
/* Token rate limits of client accounts across all nodes. The home node of an account divides the account's
 * rate among the nodes that ask for it, and each node admits work within its allotment. */
#ifndef BAYHOIST_QUOTA_H
#define BAYHOIST_QUOTA_H

#include "bayhoist/message.h"

typedef struct BH__Quota BH__Quota;

BH__Quota *bh__quota_new(void);
void bh__quota_delete(BH__Quota *q);

typedef enum { BH__QUOTA_ADMIT, BH__QUOTA_WAIT, BH__QUOTA_REFUSE } BH__QuotaDecision;

/* For nodes that spend an account's tokens. */
BH__QuotaDecision bh__quota_take(BH__Quota *q, uint64_t account_id, const BH__Account *account, double tokens,
								 uint64_t now_us, uint64_t *retry_after_us);
GArray *bh__quota_get_asks(BH__Quota *q, uint64_t now_us);
void bh__quota_process_grant(BH__Quota *q, const BH__QuotaEntry *e, uint64_t now_us);

/* For the home node of an account. `alive` and `lost` count the nodes that are reachable and those that are
 * not. The home holds back what lost nodes may still spend. */
double bh__quota_allot(BH__Quota *q, uint64_t node_id, uint64_t boot_id, const BH__QuotaEntry *ask,
					   double rate, unsigned alive, unsigned lost, uint64_t now_us);
void bh__quota_process_node_gone(BH__Quota *q, uint64_t node_id, bool certain, uint64_t now_us);
void bh__quota_drop_home(BH__Quota *q, uint64_t account_id);

#endif
