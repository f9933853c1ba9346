/* SPDX-License-Identifier: BSD-3-Clause */
/* Collects reports of aborted requests by endpoint until it is known whether the endpoint has crashed. One
 * node collects the reports of a service. The module does no I/O, and the caller supplies the time. */
#ifndef BAYHOIST_CRASH_REPORTS_H
#define BAYHOIST_CRASH_REPORTS_H

#include "bayhoist/quarantine.h"

/* Result of the liveness probe of an endpoint that aborted a request. */
typedef enum {
	BH__CRASH_UNKNOWN,   /* no result, or unresponsive, which may be a network partition */
	BH__CRASH_DISPROVEN, /* the endpoint accepts connections */
	BH__CRASH_CONFIRMED  /* its address refuses connections, or the endpoint reports a later start */
} BH__CrashEvidence;

extern const char *const BH__CrashEvidenceString[];

typedef struct BH__CrashReports BH__CrashReports;

BH__CrashReports *bh__crash_reports_new(void);
void bh__crash_reports_delete(BH__CrashReports *r);
bool bh__crash_reports_process(BH__CrashReports *r, uint64_t endpoint_id, uint64_t started_ms,
							   const BH__CrashSuspect *suspect, unsigned count, uint64_t now_us);
void bh__crash_reports_process_evidence(BH__CrashReports *r, uint64_t endpoint_id,
										BH__CrashEvidence evidence);
void bh__crash_reports_process_start(BH__CrashReports *r, uint64_t endpoint_id, uint64_t started_ms);
bool bh__crash_reports_evaluate(BH__CrashReports *r, BH__Quarantine *q, GArray *changed, uint64_t now_us);
uint64_t bh__crash_reports_get_due_us(const BH__CrashReports *r);

#endif
