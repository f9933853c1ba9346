/* SPDX-License-Identifier: BSD-3-Clause */
/* Reports of requests whose endpoint broke off, gathered by endpoint until it is known whether it has
 * crashed. One node gathers those of a service. No I/O, no clock of its own. */
#ifndef BAYHOIST_CRASH_REPORTS_H
#define BAYHOIST_CRASH_REPORTS_H

#include "bayhoist/quarantine.h"

/* What a look at an endpoint that broke off a request has shown. */
typedef enum {
	BH__CRASH_UNKNOWN, /* nothing yet, or it is silent: it may be behind a cut */
	BH__CRASH_DENIED,  /* it takes connections */
	BH__CRASH_PROVEN   /* nobody listens at its address, or it says that it has started since */
} BH__CrashProof;

extern const char *const BH__CrashProofString[];

typedef struct BH__CrashReports BH__CrashReports;

BH__CrashReports *bh__crash_reports_new(void);
void bh__crash_reports_delete(BH__CrashReports *r);
bool bh__crash_reports_process(BH__CrashReports *r, uint64_t endpoint_id, uint64_t born_ms,
							   const BH__CrashSuspect *suspect, uint64_t now_us);
void bh__crash_reports_process_proof(BH__CrashReports *r, uint64_t endpoint_id, BH__CrashProof proof);
void bh__crash_reports_process_start(BH__CrashReports *r, uint64_t endpoint_id, uint64_t born_ms);
bool bh__crash_reports_judge(BH__CrashReports *r, BH__Quarantine *q, GArray *changed, uint64_t now_us);
uint64_t bh__crash_reports_get_due_us(const BH__CrashReports *r);

#endif
