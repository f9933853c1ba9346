/* SPDX-License-Identifier: BSD-3-Clause */
/* Names of verdicts and reasons, and the HTTP status of each reason. */
#include "bayhoist/verdict.h"

const char *const BH__VerdictString[] = {"not-run", "may-have-run", "ran"};

const char *const BH__ReasonString[] = {
	"none",          "bad-request", "unknown-model", "too-long",          "overload",
	"account-limit", "deadline",    "no-endpoint",   "endpoint-failed",   "caller-gone",
	"stamp-expired", "key-in-use",  "node-leaving",  "crashes-endpoints",
};

static const unsigned ReasonHttpStatus_[] = {200, 400, 404, 413, 503, 429, 504,
											 503, 502, 499, 409, 409, 503, 503};

/* Returns the HTTP status for `reason`. 499 is the customary status for a client that closed the connection
 * before the response. */
unsigned bh__reason_get_http_status(BH__Reason reason)
{
	return ReasonHttpStatus_[reason];
}
