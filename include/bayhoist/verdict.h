/* SPDX-License-Identifier: BSD-3-Clause */
/* The verdict on a request or on one attempt: whether an endpoint may have run it. */
#ifndef BAYHOIST_VERDICT_H
#define BAYHOIST_VERDICT_H

/* In ascending order of how far the request may have got. */
typedef enum {
	BH__VERDICT_NOT_RUN,      /* no endpoint has run it or will run it; a caller retry is safe */
	BH__VERDICT_MAY_HAVE_RUN, /* an endpoint may have run it, or may still run it */
	BH__VERDICT_RAN           /* it ran to completion */
} BH__Verdict;

extern const char *const BH__VerdictString[];

/* Why a request ended without a complete answer. */
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

/* Returns the HTTP status that reports `reason` to a caller. */
unsigned bh__reason_get_http_status(BH__Reason reason);

#endif
