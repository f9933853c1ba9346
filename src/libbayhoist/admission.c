/* SPDX-License-Identifier: BSD-3-Clause */
/* Admission of callers' requests: checks of the model and the prompt length, at-most-once execution, the
 * account's rate and the first ask. */
#include "node_internal.h"

#include <string.h>
#include "bayhoist/hash.h"

#define DEFAULT_MAX_TOKENS_ 256 /* assumed for predictions if the caller gives no limit */

static bool refuse_(BH__AdmissionResult *out, BH__Reason reason, uint64_t retry_after_us, const char *format,
					...) G_GNUC_PRINTF(4, 5);
static const BH__Resource *check_request_(BH__Node *n, const BH__Request *r, BH__AdmissionResult *out,
										  uint64_t *idempotency_entry);
static bool start_request_(BH__Node *n, BH__RequestEntry *e, BH__AdmissionResult *out);
static void release_key_(BH__Node *n, uint64_t idempotency_entry);
static const BH__Resource *check_model_(const BH__Node *n, const BH__Request *r, BH__AdmissionResult *out);
static bool claim_key_(BH__Node *n, const BH__Request *r, BH__AdmissionResult *out, uint64_t *entry);
static bool forward_to_stamp_node_(BH__Node *n, const BH__Stamp *stamp, BH__AdmissionResult *out);
static BH__RequestEntry *new_entry_(BH__Node *n, const BH__Request *r, const BH__Resource *model);
static void fill_ask_(BH__Node *n, BH__RequestEntry *e, const BH__Request *r, const BH__Model *model);
static bool take_quota_(BH__Node *n, BH__RequestEntry *e, uint64_t *retry_after_us, bool *wait);

/* Fills in a refusal with verdict NOT_RUN. Returns false, so that callers can return its result. */
static bool refuse_(BH__AdmissionResult *out, BH__Reason reason, uint64_t retry_after_us, const char *format,
					...)
{
	va_list args;

	va_start(args, format);
	g_vsnprintf(out->message, sizeof out->message, format, args);
	va_end(args);
	out->admission = BH__ADMIT_REFUSED;
	out->outcome.verdict = BH__VERDICT_NOT_RUN;
	out->outcome.reason = reason;
	out->outcome.retry_after_ms = retry_after_us / BH__MS_US;
	out->outcome.message = out->message;
	return false;
}

/* Returns a new id for a caller's request. */
uint64_t bh__node_new_request_id(BH__Node *n)
{
	return bh__node_new_id(n);
}

/* Admits a caller's request or refuses it; `out` holds the decision. For BH__ADMIT_ACCEPTED, the answer and
 * the outcome are delivered through the ports, possibly before this function returns. */
void bh__node_request(BH__Node *n, const BH__Request *r, BH__AdmissionResult *out, uint64_t now_us)
{
	const BH__Resource *model;
	BH__RequestEntry *e;
	uint64_t idempotency_entry = 0;

	n->now_us = now_us;
	memset(out, 0, sizeof *out);
	n->counters.requests++;
	model = check_request_(n, r, out, &idempotency_entry);
	if (!model) {
		n->counters.refused += out->admission == BH__ADMIT_REFUSED;
		return;
	}
	e = new_entry_(n, r, model);
	e->idempotency_entry = idempotency_entry;
	if (idempotency_entry)
		e->answer = g_string_new(NULL);
	out->admission = BH__ADMIT_ACCEPTED;
	bh__node_event(n, BH__EVENT_REQUEST, e->request_id, 0, e->model, "arrived", e->ask.prompt_tokens);
	if (!start_request_(n, e, out)) {
		release_key_(n, idempotency_entry);
		g_hash_table_remove(n->requests, &e->request_id);
		n->counters.live--;
		n->counters.refused++;
		return;
	}
	bh__node_drain_inbox(n);
}

/* Checks a request before it is started. Returns its model, or NULL with `out` filled in. Sets
 * `idempotency_entry` if it claims the request's key. */
static const BH__Resource *check_request_(BH__Node *n, const BH__Request *r, BH__AdmissionResult *out,
										  uint64_t *idempotency_entry)
{
	const BH__Resource *model = check_model_(n, r, out);

	if (!model || (!r->repeatable && r->key && !claim_key_(n, r, out, idempotency_entry)))
		return NULL;
	if (n->counters.live < n->options.max_requests)
		return model;
	refuse_(out, BH__REASON_OVERLOAD, BH__SECOND_US, "this node holds %u requests, its limit",
			n->counters.live);
	release_key_(n, *idempotency_entry);
	return NULL;
}

/* Takes tokens from the account's rate and asks for a grant. Returns false, with `out` filled in, if the
 * request is quarantined or either is refused at once. */
static bool start_request_(BH__Node *n, BH__RequestEntry *e, BH__AdmissionResult *out)
{
	uint64_t retry_after_us = BH__SECOND_US;
	uint64_t held_us = bh__crashes_get_held_us(n, &e->fingerprint);
	bool wait = false;

	if (held_us)
		return refuse_(out, BH__REASON_CRASHES_ENDPOINTS, held_us, BH__QUARANTINE_REFUSAL_TEXT);
	if (!take_quota_(n, e, &retry_after_us, &wait))
		return refuse_(out, BH__REASON_ACCOUNT_LIMIT, retry_after_us,
					   "the account's token rate is exhausted");
	if (!wait && !bh__request_ask(n, e))
		return refuse_(out, BH__REASON_NO_ENDPOINT, BH__SECOND_US, "no endpoint currently serves \"%s\"",
					   e->model);
	return true;
}

/* Releases a claimed idempotency key of a request that is not run after all; 0: no key was claimed. */
static void release_key_(BH__Node *n, uint64_t idempotency_entry)
{
	BH__IdempotencyOutcome not_run = {.verdict = BH__VERDICT_NOT_RUN};

	if (idempotency_entry)
		bh__idempotency_finish(n->idempotency_table, idempotency_entry, &not_run);
}

/* Checks the model, the adapter and the prompt length. Returns the model, or NULL with `out` filled in. */
static const BH__Resource *check_model_(const BH__Node *n, const BH__Request *r, BH__AdmissionResult *out)
{
	const BH__Catalog *c = bh__config_get_catalog(n->config);
	const BH__Resource *model = bh__catalog_find(c, BH__KIND_MODEL, bh__hash_name(r->model));
	const BH__Resource *adapter = NULL;
	uint64_t tokens;

	if (!model) {
		refuse_(out, BH__REASON_UNKNOWN_MODEL, 0, "field \"model\": there is no model \"%.64s\"", r->model);
		return NULL;
	}
	if (r->adapter) {
		adapter = bh__catalog_find(c, BH__KIND_ADAPTER, bh__hash_name(r->adapter));
		if (!adapter || strcmp(adapter->as.adapter.model, model->name) != 0) {
			refuse_(out, BH__REASON_UNKNOWN_MODEL, 0,
					"field \"model\": model \"%s\" has no adapter \"%.64s\"", model->name, r->adapter);
			return NULL;
		}
	}
	tokens = r->prompt_bytes / model->as.model.bytes_per_token;
	if (tokens > model->as.model.context_tokens) {
		refuse_(out, BH__REASON_TOO_LONG, 0,
				"the prompt has about %" G_GUINT64_FORMAT " tokens; model \"%s\" takes %" G_GUINT64_FORMAT,
				tokens, model->name, model->as.model.context_tokens);
		return NULL;
	}
	return model;
}

/* Claims the key of a request that is not repeatable, so that this boot of the node may run it. Returns
 * false, with `out` filled in, if the request must not run here: its stamp is missing or names another
 * node or boot, or the key is in use, was used for another request, has an outcome already or is too old. */
static bool claim_key_(BH__Node *n, const BH__Request *r, BH__AdmissionResult *out, uint64_t *entry)
{
	BH__Stamp stamp;
	BH__IdempotencyOutcome known;
	const BH__MemberInfo *self = bh__members_get_self(n->members);

	if (!r->stamp || !bh__stamp_parse(r->stamp, &stamp))
		return refuse_(out, BH__REASON_BAD_REQUEST, 0,
					   "a request with an idempotency key needs the stamp that the answer to \"where\" gave");
	if (stamp.node_id != self->node_id || stamp.boot_id != self->boot_id)
		return forward_to_stamp_node_(n, &stamp, out);
	switch (bh__idempotency_claim(n->idempotency_table, r->account_id, r->key, r->body_hash, stamp.sequence,
								  entry, &known)) {
	case BH__IDEMPOTENCY_RUN:
		return true;
	case BH__IDEMPOTENCY_RUNNING:
		refuse_(out, BH__REASON_KEY_IN_USE, BH__SECOND_US, "a request with this key is running");
		out->outcome.verdict = BH__VERDICT_MAY_HAVE_RUN;
		return false;
	case BH__IDEMPOTENCY_KEY_REUSED:
		return refuse_(out, BH__REASON_BAD_REQUEST, 0, "this key was used for another request");
	case BH__IDEMPOTENCY_FINISHED:
		out->admission = BH__ADMIT_REPLAY;
		out->outcome.verdict = known.verdict;
		out->outcome.reason = known.reason;
		out->answer = known.answer;
		out->answer_len = known.answer_len;
		return false;
	case BH__IDEMPOTENCY_EVICTED:
	case BH__IDEMPOTENCY_FOREIGN_STAMP:
		break;
	}
	refuse_(out, BH__REASON_STAMP_EXPIRED, 0,
			"the stamp is older than this node's idempotency records: it may have run");
	out->outcome.verdict = BH__VERDICT_MAY_HAVE_RUN;
	return false;
}

/* Forwards the request to the node boot that its stamp names. If that boot has ended or the node is dead, it
 * is unknown whether the request ran, and the request is refused. Returns false, with `out` filled in. */
static bool forward_to_stamp_node_(BH__Node *n, const BH__Stamp *stamp, BH__AdmissionResult *out)
{
	const BH__MemberInfo *info = bh__members_find(n->members, stamp->node_id);

	if (info && info->boot_id == stamp->boot_id && info->state != BH__MEMBER_DEAD &&
		info->node_id != n->options.self.node_id) {
		out->admission = BH__ADMIT_FORWARD;
		g_strlcpy(out->forward_address, info->caller_address, sizeof out->forward_address);
		return false;
	}
	refuse_(out, BH__REASON_STAMP_EXPIRED, 0,
			"the node that the stamp names is no longer available: it may have run");
	out->outcome.verdict = BH__VERDICT_MAY_HAVE_RUN;
	return false;
}

/* Returns a new entry in the table of requests, with its ask filled in. */
static BH__RequestEntry *new_entry_(BH__Node *n, const BH__Request *r, const BH__Resource *model)
{
	const BH__Policy *policy = bh__catalog_get_policy(bh__config_get_catalog(n->config));
	BH__RequestEntry *e = g_new0(BH__RequestEntry, 1);

	e->request_id = r->request_id;
	e->model_id = model->id;
	e->model = g_strdup(model->name);
	e->is_service = model->as.model.service;
	e->repeatable = r->repeatable;
	e->fingerprint = r->fingerprint;
	e->arrived_us = n->now_us;
	e->deadline_us = n->now_us + (r->deadline_us ? r->deadline_us : policy->default_deadline_ms * BH__MS_US);
	fill_ask_(n, e, r, &model->as.model);
	g_hash_table_insert(n->requests, &e->request_id, e);
	n->counters.live++;
	return e;
}

/* Fills in the request's ask and its needs in tokens and in bytes of engine memory. The number of prompt
 * tokens is estimated from the prompt's length. */
static void fill_ask_(BH__Node *n, BH__RequestEntry *e, const BH__Request *r, const BH__Model *model)
{
	const BH__Catalog *c = bh__config_get_catalog(n->config);
	const BH__Resource *account = bh__catalog_find(c, BH__KIND_ACCOUNT, r->account_id);
	const BH__Resource *priority = NULL;
	BH__Ask *a = &e->ask;

	if (account && account->as.account.priority[0])
		priority = bh__catalog_find(c, BH__KIND_PRIORITY, bh__hash_name(account->as.account.priority));
	a->node_id = n->options.self.node_id;
	a->boot_id = bh__members_get_self(n->members)->boot_id;
	a->account_id = r->account_id;
	a->weight = (account ? account->as.account.weight : 1) * (priority ? priority->as.priority.weight : 1);
	a->priority_level = priority ? (uint32_t)priority->as.priority.level : 0;
	a->prompt_tokens = r->prompt_bytes / model->bytes_per_token + 1;
	a->max_tokens = model->service ? 0 : r->max_tokens ? r->max_tokens : DEFAULT_MAX_TOKENS_;
	a->kv_bytes = (a->prompt_tokens + a->max_tokens) * model->kv_bytes_per_token;
	a->adapter_id = r->adapter ? bh__hash_name(r->adapter) : 0;
	a->prefix = r->prefix;
	e->prompt_tokens = a->prompt_tokens;
	e->kv_bytes = a->kv_bytes;
	e->quota_tokens = a->prompt_tokens + a->max_tokens;
}

/* Takes the request's tokens from the account's rate. Sets `wait` if this node does not hold a rate share
 * yet. Returns false, with `retry_after_us` set, if the rate is exhausted. Services and requests without a
 * configured account are not limited. */
static bool take_quota_(BH__Node *n, BH__RequestEntry *e, uint64_t *retry_after_us, bool *wait)
{
	const BH__Resource *r =
		bh__catalog_find(bh__config_get_catalog(n->config), BH__KIND_ACCOUNT, e->ask.account_id);
	BH__QuotaDecision d;

	if (!r || e->is_service)
		return true;
	d = bh__quota_take(n->quota, r->id, &r->as.account, (double)e->quota_tokens, n->now_us, retry_after_us);
	*wait = d == BH__QUOTA_WAIT;
	if (*wait)
		e->state = BH__REQUEST_QUOTA;
	return d != BH__QUOTA_REFUSE;
}

/* Retries the requests that wait for a share of their account's rate. */
void bh__requests_process_quota(BH__Node *n)
{
	GList *all = g_hash_table_get_values(n->requests);

	for (GList *it = all; it; it = it->next) {
		BH__RequestEntry *e = it->data;
		uint64_t retry_after_us = 0;
		bool wait = false;
		if (e->state != BH__REQUEST_QUOTA)
			continue;
		if (!take_quota_(n, e, &retry_after_us, &wait))
			bh__request_finish(n, e, BH__VERDICT_NOT_RUN, BH__REASON_ACCOUNT_LIMIT,
							   retry_after_us / BH__MS_US, "the account's token rate is exhausted");
		else if (!wait && !bh__request_ask(n, e))
			bh__request_finish(n, e, BH__VERDICT_NOT_RUN, BH__REASON_NO_ENDPOINT, 1000,
							   "no endpoint currently serves the model");
	}
	g_list_free(all);
}
