/// The settings name one seed. Its machine is cut off from the other daemons and starts again: it
/// is most of the seeds by itself and takes itself for the whole fleet.
#include "../cut_seeds_3.hpp"

int main()
{
    review::play_cut_seeds({.number = 12, .daemon_count = 4, .seed_count = 1, .cut_count = 1});
}
