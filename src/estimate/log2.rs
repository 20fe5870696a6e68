//! Binary logarithms in fixed point, so that replicated state is the same on every architecture.

use serde::{Deserialize, Serialize};

/// Number of fractional bits. One unit is a factor of 1.00017.
const FRACTION_BITS: u32 = 12;

/// Number of units in one doubling.
pub const DOUBLING: i64 = 1 << FRACTION_BITS;

/// Fractional bits of the factors in `ROOTS`.
const ROOT_BITS: u32 = 32;

/// 2 to the power of 1/2, 1/4, 1/8 and so on.
const ROOTS: [u64; FRACTION_BITS as usize] = [
    6_074_001_000,
    5_107_605_667,
    4_683_695_048,
    4_485_121_744,
    4_389_014_833,
    4_341_736_423,
    4_318_288_544,
    4_306_612_134,
    4_300_785_774,
    4_297_875_550,
    4_296_421_177,
    4_295_694_175,
];

/// A binary logarithm, or the difference of two, in units of `DOUBLING`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Log(i32);

impl Log {
    /// Returns the logarithm of a number; that of zero is taken to be that of one.
    pub fn of(value: u64) -> Self {
        let value = value.max(1);
        let whole = value.ilog2();
        // The mantissa lies between 1 and 2, in fixed point with `ROOT_BITS`.
        let mut mantissa = if whole >= ROOT_BITS {
            value >> (whole - ROOT_BITS)
        } else {
            value << (ROOT_BITS - whole)
        };
        let mut bits = i64::from(whole);
        for _bit in 0..FRACTION_BITS {
            let square = (u128::from(mantissa) * u128::from(mantissa)) >> ROOT_BITS;
            let carry = (square >> (ROOT_BITS + 1)) as u64;
            mantissa = (square >> carry) as u64;
            bits = bits * 2 + carry as i64;
        }
        Self::from_units(bits)
    }

    /// Returns the number whose logarithm this is, at least 1 and at most the largest number.
    pub fn exp(self) -> u64 {
        let units = i64::from(self.0);
        let (whole, fraction) = (units.div_euclid(DOUBLING), units.rem_euclid(DOUBLING));
        if whole < 0 {
            return 1;
        }
        if whole >= i64::from(u64::BITS) {
            return u64::MAX;
        }
        let set = |index: &usize| fraction >> (FRACTION_BITS as usize - 1 - index) & 1 == 1;
        let factors = (0..ROOTS.len()).filter(set).map(|index| ROOTS[index]);
        let mantissa = factors.fold(1_u128 << ROOT_BITS, |product, factor| {
            (product * u128::from(factor)) >> ROOT_BITS
        });
        let shift = ROOT_BITS - 1;
        let rounded = ((mantissa << whole) + (1 << shift)) >> ROOT_BITS;
        u64::try_from(rounded).unwrap_or(u64::MAX)
    }

    /// Returns the logarithm in units of `DOUBLING`.
    pub fn units(self) -> i64 {
        i64::from(self.0)
    }

    /// Creates a logarithm from units of `DOUBLING`.
    pub fn from_units(units: i64) -> Self {
        let bound = i64::from(i32::MAX);
        Self(units.clamp(-bound, bound) as i32)
    }
}
