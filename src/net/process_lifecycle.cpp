#include "net/process_lifecycle.hpp"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace zinniaferry::net
{

namespace
{

namespace msm = boost::msm;
using msm::front::Row;

struct became_ready
{
};
struct stop_requested
{
};
struct announcement_finished
{
};
struct work_finished
{
};

struct definition : msm::front::state_machine_def<definition>
{
    struct starting : msm::front::state<>
    {
    };
    struct serving : msm::front::state<>
    {
    };
    struct announcing : msm::front::state<>
    {
    };
    struct finishing : msm::front::state<>
    {
    };
    struct stopped : msm::front::state<>
    {
    };

    using initial_state = starting;

    // A stop during the start skips `announcing`, because readiness was never on.
    struct transition_table : boost::mpl::vector<Row<starting, became_ready, serving>,
                                                 Row<starting, stop_requested, finishing>,
                                                 Row<serving, stop_requested, announcing>,
                                                 Row<announcing, announcement_finished, finishing>,
                                                 Row<finishing, work_finished, stopped>>
    {
    };

    template <class Fsm, class Event>
    void no_transition(const Event&, Fsm&, int)
    {
    }
};

} // namespace

struct process_lifecycle::machine : msm::back::state_machine<definition>
{
};

const char* to_string(process_state state)
{
    static constexpr const char* names[] = {"starting", "serving", "announcing", "finishing",
                                            "stopped"};
    return names[static_cast<int>(state)];
}

process_lifecycle::process_lifecycle() : machine_(std::make_unique<machine>())
{
    machine_->start();
}

process_lifecycle::~process_lifecycle() = default;

process_state process_lifecycle::apply(process_event event)
{
    switch (event)
    {
    case process_event::became_ready:
        machine_->process_event(became_ready());
        break;
    case process_event::stop_requested:
        machine_->process_event(stop_requested());
        break;
    case process_event::announcement_finished:
        machine_->process_event(announcement_finished());
        break;
    case process_event::work_finished:
        machine_->process_event(work_finished());
        break;
    }
    return state();
}

process_state process_lifecycle::state() const
{
    // MSM numbers the states by the source column of the transition table, followed by states that
    // are only targets. The enumerators of process_state are in this order.
    return static_cast<process_state>(machine_->current_state()[0]);
}

} // namespace zinniaferry::net
