/* SPDX-License-Identifier: BSD-3-Clause */
/* Encoding of peer messages. A message is a sequence of msgpack values: version, type, sender, then its
 * fields in order. One function per structure lists the fields and both packs and unpacks them, so that
 * encoder and decoder cannot diverge. */
#include "bayhoist/message.h"

#include <math.h>
#include <msgpack.h>
#include <string.h>

/* Lead bytes of containers, from the msgpack specification. Bytes from 0xe0 on encode small negative numbers,
 * which messages do not contain either. */
#define MSGPACK_FIXMAP_FIRST_ 0x80
#define MSGPACK_FIXARRAY_LAST_ 0x9f
#define MSGPACK_ARRAY16_ 0xdc

const char *const BH__MessageTypeString[] = {
	"ping",       "ack",         "ping-req",   "join",        "members",     "ask",        "grant",
	"refuse",     "release",     "progress",   "withdraw",    "hold",        "orphan",     "config-news",
	"config-ask", "config-data", "quota-ask",  "quota-grant", "queued",      "look-ask",   "look",
	"pass",       "reader",      "suspect",    "quarantine",  "news",        "signals",    "permit-ask",
	"permit",     "links",       "hall-paths", "relay-open",  "relay-reply", "relay-data", "relay-end"};
const char *const BH__MemberStateString[] = {"alive", "suspect", "dead"};
const char *const BH__RelayResultString[] = {
	"opened",        "endpoint-refused", "endpoint-silent", "endpoint-unusable",
	"node-doubtful", "node-cut",         "node-full",       "node-leaving"};
const char *const BH__ReleaseKindString[] = {"done", "failed", "refused", "unused", "lost"};

/* State of encoding or decoding one message: packs values into `packer`, or takes them from an array of
 * decoded values. */
typedef struct {
	msgpack_packer *packer;     /* NULL when unpacking */
	const msgpack_object *next; /* next value to take */
	size_t left;                /* values not yet taken */
	bool failed;                /* a value is missing, of the wrong type or out of range */
} Codec_;

static bool is_packing_(const Codec_ *c);
static const msgpack_object *take_(Codec_ *c, msgpack_object_type type);
static void u64_(Codec_ *c, uint64_t *value);
static void u32_(Codec_ *c, uint32_t *value);
static void u8_(Codec_ *c, uint8_t *value, uint8_t max);
static void flag_(Codec_ *c, bool *value);
static void real_(Codec_ *c, double *value);
static void string_(Codec_ *c, char *value, size_t size);
static void text_(Codec_ *c, char **value);
static void packed_text_(Codec_ *c, BH__PackedText *value);
static void bytes_(Codec_ *c, char **bytes, uint32_t *len);
static void *list_(Codec_ *c, uint32_t *count, void *list, size_t size);
static void member_(Codec_ *c, BH__MemberInfo *m);
static void digest_(Codec_ *c, BH__PoolDigest *d);
static void ping_(Codec_ *c, BH__Message *m);
static void ask_(Codec_ *c, BH__Ask *a);
static void grant_(Codec_ *c, BH__Grant *g);
static void hold_(Codec_ *c, BH__Message *m);
static void config_ask_(Codec_ *c, BH__Message *m);
static void config_data_(Codec_ *c, BH__Message *m);
static void quota_(Codec_ *c, BH__Message *m);
static void endpoint_(Codec_ *c, BH__EndpointEntry *e);
static void store_version_(Codec_ *c, BH__StoreVersion *p);
static void past_(Codec_ *c, BH__EndpointHistory *p);
static void sync_(Codec_ *c, BH__Message *m);
static void fingerprint_(Codec_ *c, BH__Fingerprint *f);
static void subject_kind_(Codec_ *c, BH__SubjectKind *kind);
static void prompt_parts_(Codec_ *c, BH__PromptParts *p);
static void suspect_(Codec_ *c, BH__Message *m);
static void quarantine_entry_(Codec_ *c, BH__QuarantineEntry *e);
static void quarantine_(Codec_ *c, BH__Message *m);
static void range_(Codec_ *c, BH__MessageRange *a);
static void signals_(Codec_ *c, BH__Message *m);
static void signal_update_(Codec_ *c, BH__SignalUpdate *n);
static void permit_ask_(Codec_ *c, BH__Message *m);
static void permit_(Codec_ *c, BH__Message *m);
static void hall_paths_(Codec_ *c, BH__Message *m);
static void body_(Codec_ *c, BH__Message *m);
static bool is_container_(uint8_t lead);

static bool is_packing_(const Codec_ *c)
{
	return c->packer != NULL;
}

/* Takes the next value. Returns NULL and marks the codec failed if there is none or its type is not `type`.
 */
static const msgpack_object *take_(Codec_ *c, msgpack_object_type type)
{
	if (c->failed || !c->left || c->next->type != type) {
		c->failed = true;
		return NULL;
	}
	c->left--;
	return c->next++;
}

static void u64_(Codec_ *c, uint64_t *value)
{
	const msgpack_object *o;

	if (is_packing_(c)) {
		msgpack_pack_uint64(c->packer, *value);
		return;
	}
	o = take_(c, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (o)
		*value = o->via.u64;
}

static void u32_(Codec_ *c, uint32_t *value)
{
	uint64_t wide = *value;
	u64_(c, &wide);
	c->failed |= wide > UINT32_MAX;
	*value = (uint32_t)wide;
}

/* Packs or takes an integer. Fails if it is greater than `max`. */
static void u8_(Codec_ *c, uint8_t *value, uint8_t max)
{
	uint64_t wide = *value;
	u64_(c, &wide);
	c->failed |= wide > max;
	*value = wide > max ? 0 : (uint8_t)wide;
}

static void flag_(Codec_ *c, bool *value)
{
	uint8_t v = *value;
	u8_(c, &v, 1);
	*value = v != 0;
}

static void real_(Codec_ *c, double *value)
{
	const msgpack_object *o;

	if (is_packing_(c)) {
		msgpack_pack_double(c->packer, *value);
		return;
	}
	o = take_(c, MSGPACK_OBJECT_FLOAT64);
	if (o)
		*value = o->via.f64;
}

/* Packs or takes a string. Fails if it does not fit in the `size` bytes at `value` with its terminator. */
static void string_(Codec_ *c, char *value, size_t size)
{
	const msgpack_object *o;

	if (is_packing_(c)) {
		msgpack_pack_str_with_body(c->packer, value, strlen(value));
		return;
	}
	o = take_(c, MSGPACK_OBJECT_STR);
	if (!o || o->via.str.size >= size) {
		c->failed = true;
		return;
	}
	if (o->via.str.size)
		memcpy(value, o->via.str.ptr, o->via.str.size);
	value[o->via.str.size] = '\0';
}

/* Packs or takes a string of any length. A decoded string is allocated. */
static void text_(Codec_ *c, char **value)
{
	const msgpack_object *o;

	if (is_packing_(c)) {
		msgpack_pack_str_with_body(c->packer, *value, strlen(*value));
		return;
	}
	o = take_(c, MSGPACK_OBJECT_STR);
	if (o) /* an empty one has no place in the data */
		*value = o->via.str.size ? g_strndup(o->via.str.ptr, o->via.str.size) : g_strdup("");
}

/* Packs or takes a compressed text. Decoded data is allocated; an empty one leaves `data` NULL. */
static void packed_text_(Codec_ *c, BH__PackedText *value)
{
	const msgpack_object *o;

	u32_(c, &value->text_len);
	if (is_packing_(c)) {
		msgpack_pack_bin_with_body(c->packer, value->data, value->len);
		return;
	}
	o = take_(c, MSGPACK_OBJECT_BIN);
	if (!o || !o->via.bin.size)
		return;
	value->data = g_memdup2(o->via.bin.ptr, o->via.bin.size);
	value->len = o->via.bin.size;
}

/* Packs or takes bytes. Decoded ones are allocated; none leave `*bytes` NULL. */
static void bytes_(Codec_ *c, char **bytes, uint32_t *len)
{
	const msgpack_object *o;

	if (is_packing_(c)) {
		msgpack_pack_bin_with_body(c->packer, *bytes, *len);
		return;
	}
	o = take_(c, MSGPACK_OBJECT_BIN);
	if (!o || !o->via.bin.size)
		return;
	*bytes = g_memdup2(o->via.bin.ptr, o->via.bin.size);
	*len = o->via.bin.size;
}

/* Packs the length of a list and returns `list`, or reads the length and returns a new zeroed list. A length
 * above BH__MESSAGE_LIST_MAX or above the number of values left fails with NULL and a count of 0. */
static void *list_(Codec_ *c, uint32_t *count, void *list, size_t size)
{
	u32_(c, count);
	if (is_packing_(c))
		return list;
	if (c->failed || *count > BH__MESSAGE_LIST_MAX ||
		*count > c->left) { /* each entry takes at least one value */
		c->failed = true;
		*count = 0;
		return NULL;
	}
	return g_malloc0_n(*count + 1u, size);
}

static void member_(Codec_ *c, BH__MemberInfo *m)
{
	uint8_t state = (uint8_t)m->state;

	u64_(c, &m->node_id);
	u64_(c, &m->boot_id);
	u32_(c, &m->refutation);
	u8_(c, &state, BH__MEMBER_DEAD);
	m->state = (BH__MemberState)state;
	flag_(c, &m->leaving);
	u64_(c, &m->config_revision);
	u32_(c, &m->load);
	u32_(c, &m->capacity);
	string_(c, m->name, sizeof m->name);
	string_(c, m->hall, sizeof m->hall);
	string_(c, m->peer_address, sizeof m->peer_address);
	string_(c, m->caller_address, sizeof m->caller_address);
}

static void digest_(Codec_ *c, BH__PoolDigest *d)
{
	u64_(c, &d->pool_id);
	u64_(c, &d->node_id);
	u64_(c, &d->sequence);
	u64_(c, &d->short_wait_us);
	u64_(c, &d->long_wait_us);
	u64_(c, &d->kv_total_bytes);
	u64_(c, &d->kv_granted_bytes);
	u32_(c, &d->endpoints);
	u32_(c, &d->queued);
}

static void ping_(Codec_ *c, BH__Message *m)
{
	u64_(c, &m->as.ping.sequence);
	member_(c, &m->as.ping.self);
	u64_(c, &m->as.ping.quarantine_hash);
	u8_(c, &m->as.ping.update_count, BH__MESSAGE_UPDATES_MAX);
	for (unsigned i = 0; i < m->as.ping.update_count; i++)
		member_(c, &m->as.ping.update[i]);
	u8_(c, &m->as.ping.digest_count, BH__MESSAGE_DIGESTS_MAX);
	for (unsigned i = 0; i < m->as.ping.digest_count; i++)
		digest_(c, &m->as.ping.digest[i]);
}

static void ask_(Codec_ *c, BH__Ask *a)
{
	u64_(c, &a->ask_id);
	u64_(c, &a->pool_id);
	u64_(c, &a->node_id);
	u64_(c, &a->boot_id);
	u64_(c, &a->account_id);
	u64_(c, &a->weight);
	u64_(c, &a->prompt_tokens);
	u64_(c, &a->max_tokens);
	u64_(c, &a->kv_bytes);
	u64_(c, &a->deadline_us);
	u64_(c, &a->adapter_id);
	u64_(c, &a->first_event_us);
	u64_(c, &a->event_gap_us);
	u32_(c, &a->priority_level);
	u8_(c, &a->avoid_count, BH__AVOID_MAX);
	for (unsigned i = 0; i < a->avoid_count; i++)
		u64_(c, &a->avoid[i]);
	u8_(c, &a->backoff_count, BH__BACKOFF_MAX);
	for (unsigned i = 0; i < a->backoff_count; i++)
		u64_(c, &a->backoff[i]);
	u8_(c, &a->prefix.count, BH__PREFIX_MAX);
	for (unsigned i = 0; i < a->prefix.count; i++)
		u64_(c, &a->prefix.hash[i]);
}

static void grant_(Codec_ *c, BH__Grant *g)
{
	u64_(c, &g->grant_id);
	u64_(c, &g->ask_id);
	u64_(c, &g->pool_id);
	u64_(c, &g->node_id);
	u64_(c, &g->boot_id);
	u32_(c, &g->priority_level);
	flag_(c, &g->is_long);
	flag_(c, &g->reports_progress);
	flag_(c, &g->has_first_event);
	u64_(c, &g->event_gap_us);
	u64_(c, &g->expected_us);
	u64_(c, &g->age_us);
	u8_(c, &g->member_count, BH__GRANT_MEMBERS_MAX);
	for (unsigned i = 0; i < g->member_count; i++) {
		u64_(c, &g->member[i].endpoint_id);
		u64_(c, &g->member[i].kv_bytes);
		u64_(c, &g->member[i].first_token);
		u64_(c, &g->member[i].token_count);
	}
}

/* Packs or takes the list of grants of a hold message: complete grants, or their ids only. */
static void hold_(Codec_ *c, BH__Message *m)
{
	u64_(c, &m->as.hold.pool_id);
	flag_(c, &m->as.hold.full);
	flag_(c, &m->as.hold.is_complete);
	m->as.hold.grant = list_(c, &m->as.hold.count, m->as.hold.grant, sizeof *m->as.hold.grant);
	for (uint32_t i = 0; i < m->as.hold.count && !c->failed; i++) {
		if (m->as.hold.full)
			grant_(c, &m->as.hold.grant[i]);
		else
			u64_(c, &m->as.hold.grant[i].grant_id);
	}
}

static void config_ask_(Codec_ *c, BH__Message *m)
{
	u64_(c, &m->as.config_ask.revision);
	flag_(c, &m->as.config_ask.has_hashes);
	for (unsigned i = 0; m->as.config_ask.has_hashes && i < BH__CHUNK_COUNT; i++)
		u64_(c, &m->as.config_ask.chunk_hash[i]);
}

static void config_data_(Codec_ *c, BH__Message *m)
{
	text_(c, &m->as.config_data.head);
	m->as.config_data.chunk =
		list_(c, &m->as.config_data.count, m->as.config_data.chunk, sizeof *m->as.config_data.chunk);
	for (uint32_t i = 0; i < m->as.config_data.count && !c->failed; i++) {
		u8_(c, &m->as.config_data.chunk[i].chunk, BH__CHUNK_COUNT - 1);
		text_(c, &m->as.config_data.chunk[i].text);
	}
}

static void quota_(Codec_ *c, BH__Message *m)
{
	m->as.quota.entry = list_(c, &m->as.quota.count, m->as.quota.entry, sizeof *m->as.quota.entry);
	for (uint32_t i = 0; i < m->as.quota.count && !c->failed; i++) {
		u64_(c, &m->as.quota.entry[i].account_id);
		real_(c, &m->as.quota.entry[i].rate);
		real_(c, &m->as.quota.entry[i].held);
	}
}

static void endpoint_(Codec_ *c, BH__EndpointEntry *e)
{
	string_(c, e->id, sizeof e->id);
	string_(c, e->service, sizeof e->service);
	string_(c, e->address, sizeof e->address);
	string_(c, e->hall, sizeof e->hall);
	u32_(c, &e->slots);
	u64_(c, &e->born_ms);
	flag_(c, &e->draining);
}

static void store_version_(Codec_ *c, BH__StoreVersion *p)
{
	u64_(c, &p->era);
	u64_(c, &p->revision);
}

static void past_(Codec_ *c, BH__EndpointHistory *p)
{
	store_version_(c, &p->gone);
	store_version_(c, &p->listed);
	u64_(c, &p->born_ms);
	flag_(c, &p->drained);
	u64_(c, &p->drained_born_ms);
}

static void sync_(Codec_ *c, BH__Message *m)
{
	u64_(c, &m->as.sync.asked_us);
	u64_(c, &m->as.sync.hold_time_us);
	u64_(c, &m->as.sync.configuration_version);
	u64_(c, &m->as.sync.configuration_age_us);
	packed_text_(c, &m->as.sync.configuration);
	store_version_(c, &m->as.sync.store_version);
	store_version_(c, &m->as.sync.era_start);
	u64_(c, &m->as.sync.registry_age_us);
	u64_(c, &m->as.sync.reader);
	flag_(c, &m->as.sync.platform_unavailable);
	flag_(c, &m->as.sync.is_complete);
	m->as.sync.fact = list_(c, &m->as.sync.count, m->as.sync.fact, sizeof *m->as.sync.fact);
	for (uint32_t i = 0; i < m->as.sync.count && !c->failed; i++) {
		endpoint_(c, &m->as.sync.fact[i].entry);
		past_(c, &m->as.sync.fact[i].history);
		u64_(c, &m->as.sync.fact[i].gone_in_us);
		u64_(c, &m->as.sync.fact[i].cold_in_us);
	}
	m->as.sync.gone = list_(c, &m->as.sync.gone_count, m->as.sync.gone, sizeof *m->as.sync.gone);
	for (uint32_t i = 0; i < m->as.sync.gone_count && !c->failed; i++) {
		u64_(c, &m->as.sync.gone[i].endpoint_id);
		past_(c, &m->as.sync.gone[i].history);
	}
	m->as.sync.hall = list_(c, &m->as.sync.hall_count, m->as.sync.hall, sizeof *m->as.sync.hall);
	for (uint32_t i = 0; i < m->as.sync.hall_count && !c->failed; i++) {
		string_(c, m->as.sync.hall[i].name, sizeof m->as.sync.hall[i].name);
		flag_(c, &m->as.sync.hall[i].draining);
		store_version_(c, &m->as.sync.hall[i].changed);
	}
}

static void fingerprint_(Codec_ *c, BH__Fingerprint *f)
{
	u64_(c, &f->high);
	u64_(c, &f->low);
}

/* Packs or takes the kind of a subject. */
static void subject_kind_(Codec_ *c, BH__SubjectKind *kind)
{
	uint8_t value = (uint8_t)*kind;

	u8_(c, &value, BH__SUBJECT_KIND_COUNT - 1);
	*kind = (BH__SubjectKind)value;
}

static void prompt_parts_(Codec_ *c, BH__PromptParts *p)
{
	uint8_t count = (uint8_t)p->count;

	u8_(c, &count, BH__PROMPT_PARTS_MAX);
	p->count = count;
	for (uint32_t i = 0; i < p->count; i++)
		u64_(c, &p->id[i]);
}

static void suspect_(Codec_ *c, BH__Message *m)
{
	uint8_t event = (uint8_t)m->as.suspect.event;

	u8_(c, &event, BH__QUARANTINE_EVENT_COUNT - 1);
	m->as.suspect.event = (BH__QuarantineEvent)event;
	u64_(c, &m->as.suspect.endpoint_id);
	fingerprint_(c, &m->as.suspect.suspect.fingerprint);
	subject_kind_(c, &m->as.suspect.suspect.kind);
	u32_(c, &m->as.suspect.suspect.weight);
	c->failed |= m->as.suspect.suspect.weight > BH__CRASH_WEIGHT;
	u64_(c, &m->as.suspect.suspect.request);
	u64_(c, &m->as.suspect.service_id);
	prompt_parts_(c, &m->as.suspect.parts);
}

static void quarantine_entry_(Codec_ *c, BH__QuarantineEntry *e)
{
	uint8_t state = (uint8_t)e->state;

	fingerprint_(c, &e->fingerprint);
	subject_kind_(c, &e->kind);
	u8_(c, &state, BH__QUARANTINE_STATE_COUNT - 1);
	e->state = (BH__QuarantineState)state;
	u32_(c, &e->version);
	u32_(c, &e->weight);
	u32_(c, &e->times_held);
	u64_(c, &e->since_us);
	u8_(c, &e->crash_count, BH__QUARANTINE_CRASHES_MAX);
	for (unsigned i = 0; i < e->crash_count; i++) {
		u64_(c, &e->crash[i]);
		u64_(c, &e->request[i]);
	}
	u64_(c, &e->tie_id);
	u32_(c, &e->tie_size);
}

static void quarantine_(Codec_ *c, BH__Message *m)
{
	m->as.quarantine.entry =
		list_(c, &m->as.quarantine.count, m->as.quarantine.entry, sizeof *m->as.quarantine.entry);
	for (uint32_t i = 0; i < m->as.quarantine.count && !c->failed; i++)
		quarantine_entry_(c, &m->as.quarantine.entry[i]);
}

static void range_(Codec_ *c, BH__MessageRange *a)
{
	u64_(c, &a->first);
	u64_(c, &a->last);
	u8_(c, &a->tree_index, BH__MESSAGE_UPDATE_TREES - 1);
}

static void signals_(Codec_ *c, BH__Message *m)
{
	range_(c, &m->as.range);
	flag_(c, &m->as.signals.for_all);
	u8_(c, &m->as.signals.count, BH__MESSAGE_SIGNALS_MAX);
	for (unsigned i = 0; i < m->as.signals.count; i++)
		signal_update_(c, &m->as.signals.item[i]);
}

static void signal_update_(Codec_ *c, BH__SignalUpdate *n)
{
	uint8_t kind = (uint8_t)n->kind;

	u8_(c, &kind, BH__SIGNAL_KIND_COUNT - 1);
	n->kind = (BH__SignalKind)kind;
	u64_(c, &n->endpoint_id);
	u64_(c, &n->born_ms);
	flag_(c, &n->in_force);
	real_(c, &n->per_s);
	u64_(c, &n->time_us);
	c->failed |= !isfinite(n->per_s) || n->per_s < 0;
}

static void permit_ask_(Codec_ *c, BH__Message *m)
{
	u64_(c, &m->as.permit_ask.ask_id);
	u64_(c, &m->as.permit_ask.max_wait_us);
	signal_update_(c, &m->as.permit_ask.limit);
}

static void permit_(Codec_ *c, BH__Message *m)
{
	u64_(c, &m->as.permit.ask_id);
	flag_(c, &m->as.permit.granted);
	u64_(c, &m->as.permit.wait_us);
}

static void hall_paths_(Codec_ *c, BH__Message *m)
{
	BH__PathReport *r = &m->as.hall_paths.report;

	range_(c, &m->as.range);
	u64_(c, &r->node_id);
	string_(c, r->from, sizeof r->from);
	string_(c, r->to, sizeof r->to);
	flag_(c, &r->is_lost);
	flag_(c, &r->is_heard);
	u32_(c, &r->hall_nodes);
}

/* Packs or takes the fields that belong to the message's type. */
static void body_(Codec_ *c, BH__Message *m)
{
	uint8_t kind;

	switch (m->type) {
	case BH__MESSAGE_PING:
	case BH__MESSAGE_ACK:
		ping_(c, m);
		break;
	case BH__MESSAGE_PING_REQ:
		u64_(c, &m->as.ping_req.sequence);
		u64_(c, &m->as.ping_req.target_node);
		break;
	case BH__MESSAGE_JOIN:
		member_(c, &m->as.join.self);
		for (unsigned i = 0; i < BH__MEMBER_PARTITIONS; i++)
			u64_(c, &m->as.join.partition_hash[i]);
		break;
	case BH__MESSAGE_MEMBERS:
		flag_(c, &m->as.members.answers_join);
		u64_(c, &m->as.members.partitions);
		m->as.members.member = list_(c, &m->as.members.count, m->as.members.member, sizeof(BH__MemberInfo));
		for (uint32_t i = 0; i < m->as.members.count && !c->failed; i++)
			member_(c, &m->as.members.member[i]);
		break;
	case BH__MESSAGE_MEMBER_UPDATE:
		range_(c, &m->as.range);
		member_(c, &m->as.member_update.member);
		break;
	case BH__MESSAGE_ASK:
		ask_(c, &m->as.ask);
		break;
	case BH__MESSAGE_GRANT:
		grant_(c, &m->as.grant);
		break;
	case BH__MESSAGE_REFUSE:
		u64_(c, &m->as.refuse.ask_id);
		u64_(c, &m->as.refuse.pool_id);
		kind = (uint8_t)m->as.refuse.reason;
		u8_(c, &kind, BH__REASON_COUNT - 1);
		m->as.refuse.reason = (BH__Reason)kind;
		u64_(c, &m->as.refuse.retry_after_ms);
		break;
	case BH__MESSAGE_RELEASE:
	case BH__MESSAGE_PROGRESS:
	case BH__MESSAGE_ITERATION:
	case BH__MESSAGE_WITHDRAW:
	case BH__MESSAGE_QUEUED:
		u64_(c, &m->as.release.pool_id);
		u64_(c, &m->as.release.grant_id);
		kind = (uint8_t)m->as.release.kind;
		u8_(c, &kind, BH__RELEASE_LOST);
		m->as.release.kind = (BH__ReleaseKind)kind;
		u64_(c, &m->as.release.failed_endpoint);
		u64_(c, &m->as.release.iteration_us);
		u64_(c, &m->as.release.backoff_us);
		break;
	case BH__MESSAGE_HOLD:
		hold_(c, m);
		break;
	case BH__MESSAGE_ORPHAN:
		u64_(c, &m->as.orphan.endpoint_id);
		u64_(c, &m->as.orphan.attempt_id);
		break;
	case BH__MESSAGE_CONFIG_UPDATE:
	case BH__MESSAGE_CONFIG_ASK:
		config_ask_(c, m);
		break;
	case BH__MESSAGE_CONFIG_DATA:
		config_data_(c, m);
		break;
	case BH__MESSAGE_QUOTA_ASK:
	case BH__MESSAGE_QUOTA_GRANT:
		quota_(c, m);
		break;
	case BH__MESSAGE_SYNC_ASK:
	case BH__MESSAGE_SYNC:
		sync_(c, m);
		break;
	case BH__MESSAGE_READER:
		u64_(c, &m->as.sync.reader);
		break;
	case BH__MESSAGE_SUSPECT:
		suspect_(c, m);
		break;
	case BH__MESSAGE_QUARANTINE:
		quarantine_(c, m);
		break;
	case BH__MESSAGE_SIGNALS:
		signals_(c, m);
		break;
	case BH__MESSAGE_PERMIT_ASK:
		permit_ask_(c, m);
		break;
	case BH__MESSAGE_PERMIT:
		permit_(c, m);
		break;
	case BH__MESSAGE_LINKS:
		range_(c, &m->as.range);
		u64_(c, &m->as.links.node_id);
		flag_(c, &m->as.links.is_cut);
		break;
	case BH__MESSAGE_HALL_PATHS:
		hall_paths_(c, m);
		break;
	case BH__MESSAGE_RELAY_OPEN:
		u64_(c, &m->as.relay_open.endpoint_id);
		u64_(c, &m->as.relay_open.time_us);
		flag_(c, &m->as.relay_open.is_probe);
		u64_(c, &m->as.relay_open.request_bytes);
		string_(c, m->as.relay_open.request_id, sizeof m->as.relay_open.request_id);
		break;
	case BH__MESSAGE_RELAY_REPLY:
		kind = (uint8_t)m->as.relay_reply.result;
		u8_(c, &kind, BH__RELAY_RESULT_COUNT - 1);
		m->as.relay_reply.result = (BH__RelayResult)kind;
		break;
	case BH__MESSAGE_RELAY_DATA:
		bytes_(c, &m->as.relay_data.bytes, &m->as.relay_data.len);
		break;
	case BH__MESSAGE_RELAY_END:
		flag_(c, &m->as.relay_end.is_clean);
		break;
	case BH__MESSAGE_TYPE_COUNT:
		c->failed = true;
		break;
	}
}

/* Encodes `m`. The values follow one another without an enclosing array, so their number need not be known in
 * advance; the decoder reads to the end of the data. */
char *bh__message_encode(const BH__Message *m, size_t *len)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	Codec_ c = {.packer = &packer};

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_uint8(&packer, BH__MESSAGE_VERSION);
	msgpack_pack_uint8(&packer, (uint8_t)m->type);
	msgpack_pack_uint64(&packer, m->from_node);
	msgpack_pack_uint64(&packer, m->from_boot);
	body_(&c, (BH__Message *)m);
	*len = buffer.size;
	return msgpack_sbuffer_release(&buffer);
}

/* Returns true if `lead` is the lead byte of an array or a map. Messages contain neither, and a container
 * that claims a great length would make the decoder allocate as much memory. Also returns true for small
 * negative numbers. */
static bool is_container_(uint8_t lead)
{
	bool is_short = lead >= MSGPACK_FIXMAP_FIRST_ && lead <= MSGPACK_FIXARRAY_LAST_;
	return is_short || lead >= MSGPACK_ARRAY16_;
}

/* Decodes one message into `m`. The caller calls bh__message_finish() also after a failure. Rejects data with
 * another protocol version, values out of range, or values left over after the last field. */
bool bh__message_decode(BH__Message *m, const char *data, size_t len, GError **error)
{
	msgpack_unpacked unpacked;
	GArray *values = g_array_new(FALSE, FALSE, sizeof(msgpack_object));
	GPtrArray *zones = g_ptr_array_new_with_free_func((GDestroyNotify)msgpack_zone_free);
	Codec_ c = {0};
	uint8_t version = 0;
	uint8_t type = 0;
	size_t offset = 0;

	memset(m, 0, sizeof *m);
	m->type = BH__MESSAGE_TYPE_COUNT;
	msgpack_unpacked_init(&unpacked);
	while (offset < len && !is_container_((uint8_t)data[offset]) &&
		   msgpack_unpack_next(&unpacked, data, len, &offset) == MSGPACK_UNPACK_SUCCESS) {
		g_array_append_val(values, unpacked.data);
		if (unpacked.zone)
			g_ptr_array_add(zones, msgpack_unpacked_release_zone(&unpacked));
	}
	msgpack_unpacked_destroy(&unpacked);
	c.next = (const msgpack_object *)(void *)values->data;
	c.left = values->len;
	c.failed = offset != len;
	u8_(&c, &version, UINT8_MAX);
	u8_(&c, &type, BH__MESSAGE_TYPE_COUNT - 1);
	c.failed |= version != BH__MESSAGE_VERSION;
	u64_(&c, &m->from_node);
	u64_(&c, &m->from_boot);
	if (!c.failed) {
		m->type = (BH__MessageType)type;
		body_(&c, m);
	}
	c.failed |= c.left != 0;
	g_array_unref(values);
	g_ptr_array_unref(zones);
	if (c.failed)
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_SYNTAX,
					"malformed peer message (version %u, type %u)", version, type);
	return !c.failed;
}

/* Frees the lists and texts of a decoded message. */
void bh__message_finish(BH__Message *m)
{
	switch (m->type) {
	case BH__MESSAGE_MEMBERS:
		g_free(m->as.members.member);
		break;
	case BH__MESSAGE_HOLD:
		g_free(m->as.hold.grant);
		break;
	case BH__MESSAGE_CONFIG_DATA:
		for (uint32_t i = 0; i < m->as.config_data.count; i++)
			g_free(m->as.config_data.chunk[i].text);
		g_free(m->as.config_data.chunk);
		g_free(m->as.config_data.head);
		break;
	case BH__MESSAGE_QUOTA_ASK:
	case BH__MESSAGE_QUOTA_GRANT:
		g_free(m->as.quota.entry);
		break;
	case BH__MESSAGE_SYNC_ASK:
	case BH__MESSAGE_SYNC:
		bh__packed_text_clear(&m->as.sync.configuration);
		g_free(m->as.sync.fact);
		g_free(m->as.sync.gone);
		g_free(m->as.sync.hall);
		break;
	case BH__MESSAGE_QUARANTINE:
		g_free(m->as.quarantine.entry);
		break;
	case BH__MESSAGE_RELAY_DATA:
		g_free(m->as.relay_data.bytes);
		break;
	default:
		break;
	}
}
