#include "fleet/spread_model.hpp"

#include "fleet/codec.hpp"

#include <algorithm>
#include <charconv>

namespace zinniaferry::fleet
{

namespace
{

constexpr core::duration step = std::chrono::milliseconds(10);

// Length, sequence number and MAC of a frame of the peer transport.
constexpr std::size_t frame_overhead = 28;

std::string name_of(std::size_t index)
{
    return "vm" + std::to_string(index);
}

std::size_t index_of(const std::string& vm)
{
    return std::stoul(vm.substr(2));
}

std::vector<std::string_view> lines_of(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty())
    {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

template <class Number>
std::optional<Number> number_of(std::string_view text)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value)
                                                                    : std::nullopt;
}

core::result<checked_document> check_lines(std::string_view text)
{
    const auto version = number_of<std::uint64_t>(text.substr(0, text.find('\n')));
    if (!version)
    {
        return boost::leaf::new_error(core::document_error{
            "model", "$.version", std::string(text.substr(0, 16)), "a version number"});
    }
    auto configuration = std::make_shared<config::configuration>();
    configuration->version = *version;
    return checked_document{std::move(configuration), std::string(text)};
}

core::result<std::string> delta_of_lines(std::string_view base, std::string_view target)
{
    const auto old = lines_of(base);
    const auto wanted = lines_of(target);
    std::string delta;
    for (std::size_t i = 0; i < wanted.size(); ++i)
    {
        if (i >= old.size() || old[i] != wanted[i])
        {
            delta += std::to_string(i) + ' ' + std::string(wanted[i]) + '\n';
        }
    }
    return delta;
}

core::result<std::string> apply_lines(std::string_view base, std::string_view delta)
{
    auto lines = lines_of(base);
    for (const std::string_view change : lines_of(delta))
    {
        const std::size_t space = change.find(' ');
        const auto index = number_of<std::size_t>(change.substr(0, space));
        if (!index || space == std::string_view::npos || *index > lines.size())
        {
            return boost::leaf::new_error(core::document_error{
                "model", "$.delta", std::string(change.substr(0, 16)), "a line number"});
        }
        lines.resize(std::max(lines.size(), *index + 1));
        lines[*index] = change.substr(space + 1);
    }
    std::string text;
    for (const std::string_view line : lines)
    {
        text += std::string(line) + '\n';
    }
    return text;
}

void render(spread_model& model)
{
    model.document = std::to_string(model.version) + '\n';
    for (const std::string& entry : model.entries)
    {
        model.document += entry + '\n';
    }
}

std::string draw_entry(spread_model& model)
{
    std::string entry(model.options.entry_bytes, ' ');
    for (char& c : entry)
    {
        c = static_cast<char>('a' + core::uniform_index(model.random, 26));
    }
    return entry;
}

void start(spread_model& model, std::size_t index)
{
    modelled_process& process = model.processes[index];
    const core::process_id self{name_of(index), model.random()};
    process.members = make_membership({.self = self, .max_vms = model.options.max_vms}, model.now);
    process.spread = make_config_spread(modelled_spread_options(self), model.now);
    process.call.reset();
    process.running = true;
    std::vector<listed_vm> list;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < model.processes.size(); ++i)
    {
        list.push_back({name_of(i)});
        names.push_back(name_of(i));
    }
    apply_vm_list(process.members, list, model.now);
    apply_boot_list(process.spread, names, model.now);
}

void send(spread_model& model, std::size_t from, std::vector<outgoing> messages)
{
    for (outgoing& out : messages)
    {
        modelled_process& sender = model.processes[from];
        message content{sender.members.options.self, std::move(out.body)};
        sender.bytes_sent += frame_overhead + encode(content).value().size();
        const std::size_t to = index_of(out.to_vm);
        if (core::uniform(model.random) < model.options.loss ||
            model.processes[to].group != sender.group)
        {
            continue;
        }
        const core::duration delay =
            model.options.message_delay +
            core::from_seconds(core::to_seconds(model.options.delay_jitter) *
                               core::uniform(model.random));
        model.network.emplace(model.now + delay, message_in_flight{to, std::move(content)});
    }
}

void deliver(spread_model& model, const message_in_flight& arrived)
{
    modelled_process& process = model.processes[arrived.to];
    const core::process_id& from = arrived.content.from;
    if (const auto* beat = std::get_if<heartbeat>(&arrived.content.body))
    {
        handle(process.spread, from, *beat, model.now);
        send(model, arrived.to, handle(process.members, from, *beat, model.now));
        return;
    }
    note_heard(process.members, from, model.now);
    if (const auto* request = std::get_if<config_request>(&arrived.content.body))
    {
        send(model, arrived.to, handle(process.spread, from, *request, model.now));
    }
    else if (const auto* reply = std::get_if<config_reply>(&arrived.content.body))
    {
        handle(process.spread, from, *reply, model.now);
    }
}

// The service holds a watch until its version differs from the one asked after.
void answer_call(spread_model& model, open_service_call& call)
{
    const bool stale = model.mode == service_mode::stale;
    const std::string& document = stale ? model.stale_document : model.document;
    const auto version = *number_of<std::uint64_t>(document.substr(0, document.find('\n')));
    if (version != call.call.after_version)
    {
        call.document = document;
        call.answered = model.now + model.options.service_delay;
    }
    else if (model.now >= call.arrives + call.call.wait)
    {
        call.answered = model.now + model.options.service_delay;
    }
}

void step_service(spread_model& model, modelled_process& process)
{
    if (!process.call)
    {
        return;
    }
    open_service_call& call = *process.call;
    if (!call.answered && model.now >= call.arrives && model.mode != service_mode::down &&
        process.reaches_service)
    {
        answer_call(model, call);
    }
    if (!call.answered || model.now < *call.answered)
    {
        return;
    }
    bool contact = true;
    if (call.document.empty())
    {
        service_unchanged(process.spread, model.now);
    }
    else
    {
        const offer_result result = service_replied(process.spread, call.document, model.now);
        contact = result.reason != refusal_reason::older;
    }
    if (contact)
    {
        note_service_contact(process.members, model.now);
    }
    process.call.reset();
}

void step_process(spread_model& model, std::size_t index)
{
    modelled_process& process = model.processes[index];
    step_service(model, process);
    const config_version* current = in_force(process.spread);
    const own_status status{.config_version = current != nullptr ? current->version : 0,
                            .config_digest = current != nullptr ? current->digest : core::digest{},
                            .ready = is_ready(process.spread, model.now)};
    if (status.ready)
    {
        process.largest_ready = std::max(process.largest_ready, status.config_version);
    }
    send(model, index, tick(process.members, status, model.now, model.random));
    send(model, index, tick(process.spread, model.now, model.random));
    if (process.spread.call_open && process.call)
    {
        const core::duration open = model.now - process.spread.call_sent;
        if (open <= process.spread.options.call_timeout)
        {
            return;
        }
    }
    // The list is long and changes slowly, and the model asks every 10 ms for each process.
    if (model.now >= process.alive_until)
    {
        process.alive_vms = alive(process.members, model.now);
        process.alive_until = model.now + 10 * step;
    }
    const auto call =
        next_service_call(process.spread, process.alive_vms,
                          service_age(process.members, model.now), model.now, model.random);
    if (call)
    {
        // An earlier call that got no answer is given up by its caller.
        process.call =
            open_service_call{.call = *call, .arrives = model.now + model.options.service_delay};
        model.service_calls += process.reaches_service ? 1 : 0;
    }
}

bool is_active(const spread_model& model, std::size_t index)
{
    const modelled_process& process = model.processes[index];
    return process.running && model.now >= process.paused_until;
}

void deliver_due(spread_model& model, core::time_point until)
{
    while (!model.network.empty() && model.network.begin()->first <= until)
    {
        const auto first = model.network.begin();
        model.now = std::max(model.now, first->first);
        const message_in_flight arrived = std::move(first->second);
        model.network.erase(first);
        const modelled_process& process = model.processes[arrived.to];
        if (process.running && model.now < process.paused_until)
        {
            // The socket keeps it until the process wakes.
            model.network.emplace(process.paused_until, arrived);
        }
        else if (process.running)
        {
            deliver(model, arrived);
        }
    }
}

} // namespace

config_spread_options modelled_spread_options(core::process_id self)
{
    return {.self = std::move(self),
            .check = check_lines,
            .make_delta = delta_of_lines,
            .apply_delta = apply_lines};
}

spread_model make_spread_model(spread_model_options options)
{
    spread_model model;
    model.options = options;
    model.random.seed(options.seed);
    for (std::size_t i = 0; i < options.entries; ++i)
    {
        model.entries.push_back(draw_entry(model));
    }
    publish(model);
    model.stale_document = model.document;
    model.processes.resize(options.processes);
    for (std::size_t i = 0; i < model.processes.size(); ++i)
    {
        start(model, i);
    }
    return model;
}

void publish(spread_model& model)
{
    ++model.version;
    model.entries[core::uniform_index(model.random, model.entries.size())] = draw_entry(model);
    render(model);
}

void restart(spread_model& model, std::size_t index)
{
    start(model, index);
}

void run_until(spread_model& model, core::time_point end)
{
    while (model.now < end)
    {
        const core::time_point next = model.now + step;
        deliver_due(model, next);
        model.now = next;
        for (std::size_t i = 0; i < model.processes.size(); ++i)
        {
            if (is_active(model, i))
            {
                step_process(model, i);
            }
        }
    }
}

std::size_t count_in_force(const spread_model& model, std::uint64_t version)
{
    return static_cast<std::size_t>(std::count_if(
        model.processes.begin(), model.processes.end(),
        [&](const modelled_process& process)
        {
            const config_version* current = in_force(process.spread);
            return process.running && current != nullptr && current->version >= version;
        }));
}

std::optional<core::duration> time_to_reach_all(spread_model& model, std::uint64_t version,
                                                core::duration limit)
{
    const core::time_point begin = model.now;
    const auto running = static_cast<std::size_t>(
        std::count_if(model.processes.begin(), model.processes.end(),
                      [](const modelled_process& process) { return process.running; }));
    while (count_in_force(model, version) < running)
    {
        if (model.now - begin >= limit)
        {
            return std::nullopt;
        }
        run_until(model, model.now + step);
    }
    return model.now - begin;
}

} // namespace zinniaferry::fleet
