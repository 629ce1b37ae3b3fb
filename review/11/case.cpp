/// Two of three seeds are cut off from the other daemons and start again. They meet each other,
/// which is most of the seeds, and take themselves for the whole fleet: they grant each tenant's
/// whole rate, while the others still grant their share of it.
#include "../cut_seeds_3.hpp"

int main()
{
    review::play_cut_seeds({.number = 11, .daemon_count = 6, .seed_count = 3, .cut_count = 2});
}
