/* SPDX-License-Identifier: BSD-3-Clause */
/* The verdict of a request or of one attempt at it: whether an endpoint may have acted on it. */
#ifndef BAYHOIST_VERDICT_H
#define BAYHOIST_VERDICT_H

/* Ordered by how much may have happened. */
typedef enum {
	BH__VERDICT_NOT_RUN,      /* no endpoint ran it and none will: safe to send again */
	BH__VERDICT_MAY_HAVE_RUN, /* it may have run, or may still run */
	BH__VERDICT_RAN           /* it ran to its end */
} BH__Verdict;

extern const char *const BH__VerdictString[];

/* Why a request ended without its whole answer. */
typedef enum {
	BH__REASON_NONE,
	BH__REASON_BAD_REQUEST,
	BH__REASON_UNKNOWN_MODEL,
	BH__REASON_TOO_LONG,
	BH__REASON_OVERLOAD,
	BH__REASON_ACCOUNT_LIMIT,
	BH__REASON_DEADLINE,
	BH__REASON_NO_ENDPOINT,
	BH__REASON_ENDPOINT_FAILED,
	BH__REASON_CALLER_GONE,
	BH__REASON_STAMP_EXPIRED,
	BH__REASON_KEY_IN_USE,
	BH__REASON_NODE_LEAVING,
	BH__REASON_CRASHES_ENDPOINTS,
	BH__REASON_COUNT
} BH__Reason;

extern const char *const BH__ReasonString[];

/* HTTP status that tells a caller this reason. */
unsigned bh__reason_get_http_status(BH__Reason reason);

#endif
